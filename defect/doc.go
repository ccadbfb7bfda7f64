// Package defect finds the parts of prompts that crash the engines that begin to write
// an answer on them. The evidence is about a part, not about a request or a target: a
// crash makes the shared parts of a request suspect whose response had just begun, and a
// complete response clears them. It has no I/O and no clock; routers exchange what
// they have seen as Reports.
package defect
