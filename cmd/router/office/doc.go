// Package office is one router at work: it carries out the effects of the
// decisions of membership, configuration, placement, admission and the call
// journal, and serves chat requests and service calls with them.
package office
