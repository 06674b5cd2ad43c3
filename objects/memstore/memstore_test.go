package memstore_test

import (
	"testing"

	"github.com/auburnrelay/auburnrelay/objects/contract"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

func TestContract(t *testing.T) {
	contract.Run(t, func(*testing.T) contract.Harness {
		store := memstore.New(memstore.Options{PollWait: contract.PollWait, History: contract.History})
		return contract.Harness{Store: store, SetFaults: store.SetFaults, Memory: store}
	})
}
