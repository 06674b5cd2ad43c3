package retry

const (
	// resendShare is the share of the allowed ratio and slack that a SharedBudget spends on requests of a service. The
	// rest is left for calls that a request makes again when it runs a second time: they count as repeats of the
	// service that is called.
	resendShare = 0.7
	// rerunShare is the share of the allowed ratio for requests that may have run before. Their repeats
	// also repeat the calls that they made, which count for the services called. A share of 0.3 left too many lost
	// answers without a repeat.
	rerunShare = 0.5
)

// Bound limits the sends of a service beyond the first one of each request, summed over all nodes: within any
// window, they may be Ratio times the requests of the service plus Slack.
type Bound struct {
	Ratio, Slack float64
}

// SharedBudget is one node's part of the retry budgets that all nodes share, one for each service. A failure that
// concerns one service can thus not use up what the bound of this service does not allow.
//
// It reads no clock and is not safe for concurrent use.
type SharedBudget struct {
	bound    Bound
	services map[string]*serviceTokens
}

// serviceTokens are the tokens of one service: resends for all sends beyond the first, reruns for those among them
// whose request may have run before.
type serviceTokens struct {
	resends, reruns float64
}

// NewShared returns a budget whose services have their part of the slack saved up.
func NewShared(bound Bound) *SharedBudget {
	return &SharedBudget{bound: bound, services: make(map[string]*serviceTokens)}
}

// RecordFirstSend records the first send of a request of the service. nodes is the number of nodes that share the
// bound.
func (b *SharedBudget) RecordFirstSend(service string, nodes int) {
	t, saved := b.tokens(service, nodes), b.savedTokens(nodes)
	t.resends = min(t.resends+resendShare*b.bound.Ratio, saved)
	t.reruns = min(t.reruns+rerunShare*b.bound.Ratio, saved)
}

// Spend takes the token for one more send of a request of the service and reports whether one was available.
// mayHaveRun is set if an earlier send of the request may have run.
func (b *SharedBudget) Spend(service string, nodes int, mayHaveRun bool) bool {
	t := b.tokens(service, nodes)
	if t.resends < 1 || mayHaveRun && t.reruns < 1 {
		return false
	}
	t.resends--
	if mayHaveRun {
		t.reruns--
	}
	return true
}

// savedTokens is the largest number of tokens that a node may save up for a service: its part of the slack, and at
// least the one that a send takes.
func (b *SharedBudget) savedTokens(nodes int) float64 {
	return max(1, resendShare*b.bound.Slack/float64(max(nodes, 1)))
}

func (b *SharedBudget) tokens(service string, nodes int) *serviceTokens {
	t := b.services[service]
	if t == nil {
		saved := b.savedTokens(nodes)
		t = &serviceTokens{resends: saved, reruns: saved}
		b.services[service] = t
	}
	return t
}
