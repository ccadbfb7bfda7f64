// Package share tells how much of the room at each service its workspaces used lately, at all
// routers together, and how far each of them is above its fair share. A router adds what it admits
// and gets the usage of its largest users from its peers. Usage decays within a few seconds.
//
// Fair shares are weighted max-min: nobody who uses less than an equal part is held to it, and
// what it leaves belongs to the others.
package share
