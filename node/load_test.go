package node

import (
	"testing"

	"github.com/auburnrelay/auburnrelay/core/admission"
	"github.com/auburnrelay/auburnrelay/core/balance"
	"github.com/auburnrelay/auburnrelay/core/pacing"
	"github.com/auburnrelay/auburnrelay/node/settings"
)

// TestDefaultSettingsAreTheDefaultPolicies checks that the default settings give the default
// policies, whose values are justified in docs/design/load.md. The share of long work may differ by
// rounding.
func TestDefaultSettingsAreTheDefaultPolicies(t *testing.T) {
	load := settings.Defaults().Load
	got, want := admissionPolicy(load), admission.DefaultPolicy()
	const rounding = 0.01
	if got.LongShare < want.LongShare-rounding || got.LongShare > want.LongShare+rounding {
		t.Errorf("share of long work %v, want %v", got.LongShare, want.LongShare)
	}
	got.LongShare = want.LongShare
	if got != want {
		t.Errorf("admission %+v, want %+v", got, want)
	}
	if got, want := pacingPolicy(load), pacing.DefaultPolicy(regionNodes); got != want {
		t.Errorf("pacing %+v, want %+v", got, want)
	}
	if got, want := balancePolicy(load), balance.DefaultPolicy(); got != want {
		t.Errorf("balance %+v, want %+v", got, want)
	}
}

// TestDisciplines checks that each discipline gives valid admission and pacing policies.
func TestDisciplines(t *testing.T) {
	for _, discipline := range []string{settings.DisciplineProtected, settings.DisciplineFirstCome} {
		load := settings.Defaults().Load
		load.Discipline = discipline
		if err := admissionPolicy(load).Check(); err != nil {
			t.Errorf("%s: %v", discipline, err)
		}
		if _, err := pacing.New(pacingPolicy(load)); err != nil {
			t.Errorf("%s: %v", discipline, err)
		}
	}
}
