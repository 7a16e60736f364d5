// Package document is the one YAML document that describes a service.
//
// A document of one line is enough:
//
//	service: registre-steles
//
// Parse checks a document as an operator submits it: unknown fields and values
// out of range are errors, each with its line. Load reads a document that was
// accepted before, perhaps by a newer version of the program: fields that this
// version does not know are ignored and reported. Both apply the defaults, so
// that readers of a Service never see an unset field.
package document
