// Package document parses the YAML document that describes a service.
//
// The shortest valid document has one line:
//
//	service: registre-steles
//
// Parse checks a document that an operator submits: unknown fields and values
// out of range are errors, each with its line. Load reads a document that was
// accepted earlier, possibly by a newer version of the program: it ignores
// unknown fields and returns their names. Both apply the defaults, so a Service
// has no unset fields.
package document
