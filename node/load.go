package node

import (
	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/pacing"
	"github.com/auburnrelay/auburnrelay/node/settings"
)

// unlimitedLinkBits is a link rate in bits per second that is high enough to disable pacing.
const unlimitedLinkBits = 1e12

// admissionPolicy converts the settings to an admission policy.
func admissionPolicy(load settings.LoadPolicy) admission.Policy {
	if load.Discipline == settings.DisciplineFirstCome {
		return admission.BaselinePolicy()
	}
	policy := admission.DefaultPolicy()
	policy.LongShare = 1 - load.ShortReserved
	policy.LongFloor = load.LongWork.Std()
	policy.DelayFloor = load.QueueDelay.Std()
	policy.KeyShare = load.KeyShare
	return policy
}

// pacingPolicy converts the settings to a policy for transfers to other regions.
func pacingPolicy(load settings.LoadPolicy) pacing.Policy {
	policy := pacing.DefaultPolicy(regionNodes)
	policy.LinkBitsPerSecond = load.RegionLinkMbits * 1e6 / policy.Share
	if load.Discipline == settings.DisciplineFirstCome {
		policy.LinkBitsPerSecond = unlimitedLinkBits
	}
	return policy
}

// balancePolicy converts the settings to a load balancing policy for shared services.
func balancePolicy(load settings.LoadPolicy) balance.Policy {
	policy := balance.DefaultPolicy()
	policy.Random = load.Discipline == settings.DisciplineFirstCome
	policy.Warmup = load.WarmUp.Std()
	return policy
}
