// Package history stores the latest changes of each service's document in the
// platform object history/<service>.
//
// After storing a document, its writer appends the change and passes the text of
// the replaced document:
//
//	log := history.Log{Store: store}
//	err := log.Append(ctx, "bons-chantier", history.Entry{
//		Version: stored.Version, Time: now, Author: "amal", Document: text, Previous: old.Version,
//	}, string(old.Value))
//
// Append is idempotent, because the version of the document identifies an entry;
// it may be called again after any error. If a writer stops after storing its
// document and before appending, the next Append adds the missing entry from the
// replaced document. That entry is marked Repaired, because its author and time
// are unknown. If the first writer appends later, its entry replaces the repaired
// one.
package history
