package core

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// observation is one read of a register that is set at most once: a job's digest
// or end, the result of an item, or the start or result of a keyed request. A write
// is an observation too, because its response contains the value of the register.
type observation struct {
	register string
	value    string
}

// writeOnceModel states that a register that was observed as set is never observed
// as unset or with another value afterwards.
var writeOnceModel = porcupine.Model{
	Partition: partitionByRegister,
	Init:      func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		value := input.(observation).value
		if state == "" {
			return true, value
		}
		return state == value, state
	},
}

func partitionByRegister(all []porcupine.Operation) [][]porcupine.Operation {
	index := make(map[string]int)
	var out [][]porcupine.Operation
	for _, op := range all {
		key := op.Input.(observation).register
		i, found := index[key]
		if !found {
			i = len(out)
			index[key] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], op)
	}
	return out
}

// history holds the observations of a run's clients.
type history struct {
	ops []porcupine.Operation
}

func (h *history) add(register, value string, from, to time.Time) {
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: len(h.ops),
		Input:    observation{register: register, value: value},
		Call:     from.UnixNano(),
		Return:   to.UnixNano(),
	})
}

func (h *history) linearizable() bool {
	return porcupine.CheckOperations(writeOnceModel, h.ops)
}
