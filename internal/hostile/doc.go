// Package hostile tests a real daemon against callers that misbehave: bodies that stop short of
// their end, headers of very many fields, answers that nobody reads, and connections that stay
// open. Each spec starts one daemon with lowered limits and a small crowd, and checks that the
// process lives, that its memory and open descriptors stay under a bound, and that an ordinary
// request is answered afterwards.
package hostile
