// Package defect finds what crashes the targets that run it: parts of prompts, which many
// requests share, and whole requests that come again. The evidence is about such a subject,
// not about a target: a crash makes the subjects of the requests suspect that the target had,
// a complete response clears them, and a target that responds later has not crashed. It has
// no I/O and no clock; routers exchange what they have seen as Reports.
package defect
