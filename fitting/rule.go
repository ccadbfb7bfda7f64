package fitting

// Rule is the rule by which a target was chosen.
type Rule uint8

// The rules.
const (
	NoRule Rule = iota
	// SoonestPermit selects the target whose next permit comes soonest.
	SoonestPermit
	// DrawnByWeight draws a target of a plain service at random, with weights that fall with the load.
	DrawnByWeight
	// DrawnNearby does the same among idle targets in the router's own failure domain.
	DrawnNearby
	// LeastLoaded selects the least loaded engine.
	LeastLoaded
	// LeastCost selects the least costly engine for a prompt that none is known to have cached.
	LeastCost
	// NearCache selects the less costly of two engines drawn among those that have the prompt cached
	// or, if that is less, of two drawn among the others.
	NearCache
	// LeastLoadedOfSome selects the least loaded of some engines drawn at random, as all are over the
	// bound on load.
	LeastLoadedOfSome
)

// String returns the rule for operators.
func (r Rule) String() string {
	switch r {
	case SoonestPermit:
		return "its next permit comes soonest"
	case DrawnByWeight:
		return "drawn by weight"
	case DrawnNearby:
		return "drawn among idle targets in the router's failure domain"
	case LeastLoaded:
		return "least loaded"
	case LeastCost:
		return "least cost, as no engine has the prompt cached"
	case NearCache:
		return "less costly of two drawn that have the prompt cached and two that have not"
	case LeastLoadedOfSome:
		return "least loaded of some drawn, as all are over the bound on load"
	default:
		return "none"
	}
}

// byCost reports whether the rule compares costs.
func (r Rule) byCost() bool { return r == LeastCost || r == NearCache }

// byWeight reports whether the rule draws by weight.
func (r Rule) byWeight() bool { return r == DrawnByWeight || r == DrawnNearby }
