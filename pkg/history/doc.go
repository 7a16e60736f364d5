// Package history keeps the last changes of each service's document in the
// platform object history/<service>.
//
// After a document was stored, its writer appends the change, together with
// the document that it replaced:
//
//	log := history.Log{Store: store}
//	err := log.Append(ctx, "bons-chantier", history.Entry{
//		Version: stored.Version, Time: now, Author: "amal", Document: text, Previous: old.Version,
//	}, string(old.Value))
//
// Appending is idempotent: an entry is known by the version of its document,
// so Append may be called again after any error. If a writer stops between
// storing its document and appending, the next Append fills the gap from the
// replaced document; the entry is then marked Repaired, because its author and
// time are unknown. A writer that appends late replaces that entry.
package history
