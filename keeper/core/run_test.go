package core

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Environment variables that select the seeds and the number of runs.
const (
	seedVariable = "LEDGER_SEED"
	runsVariable = "LEDGER_RUNS"
)

const (
	defaultSeed = 1
	defaultRuns = 1500
	faultyTime  = 3 * time.Second
	healedTime  = 3 * time.Second
	maxFaultMS  = 900
)

func fromEnvironment(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// drawPlan draws a random plan of 2 to 11 faults for a run.
func drawPlan(rng *rand.Rand) []fault {
	plan := make([]fault, 2+rng.IntN(10))
	for i := range plan {
		plan[i] = fault{
			Kind: faultKind(rng.IntN(int(faultKinds))),
			Host: rng.IntN(simHosts),
			At:   rng.IntN(int(faultyTime.Milliseconds())),
			For:  rng.IntN(maxFaultMS),
		}
	}
	return plan
}

func simulate(seed uint64, plan []fault) *sim {
	s := newSim(seed, plan)
	s.run(faultyTime, healedTime)
	return s
}

// TestHistories simulates many short runs, each with its own seed, and checks the
// clients' observations.
func TestHistories(t *testing.T) {
	first := fromEnvironment(t, seedVariable, defaultSeed)
	runs := fromEnvironment(t, runsVariable, defaultRuns)
	const workers = 4
	for w := range uint64(workers) {
		t.Run(fmt.Sprintf("part %d", w), func(t *testing.T) {
			t.Parallel()
			for seed := first + w; seed < first+runs; seed += workers {
				checkSeed(t, seed)
			}
		})
	}
}

func checkSeed(t *testing.T, seed uint64) {
	t.Helper()
	s := simulate(seed, drawPlan(rand.New(rand.NewPCG(seed, 2))))
	if len(s.violations) > 0 {
		t.Fatalf("seed %d:\n%s\nplan %v\nreproduce with: %s=%d %s=1 go test -run TestHistories ./keeper/core",
			seed, strings.Join(s.violations, "\n"), s.plan, seedVariable, seed, runsVariable)
	}
}

// TestPlans lets gopter generate the faults, and shrink a plan that violates a
// guarantee to the faults that matter.
func TestPlans(t *testing.T) {
	seed := fromEnvironment(t, seedVariable, defaultSeed)
	parameters := gopter.DefaultTestParametersWithSeed(int64(seed))
	parameters.MinSuccessfulTests = int(fromEnvironment(t, runsVariable, defaultRuns) / 4)
	parameters.MaxSize = 12
	faultGen := gen.Struct(reflect.TypeOf(fault{}), map[string]gopter.Gen{
		"Kind": gen.IntRange(0, int(faultKinds)-1).Map(func(n int) faultKind { return faultKind(n) }),
		"Host": gen.IntRange(0, simHosts-1),
		"At":   gen.IntRange(0, int(faultyTime.Milliseconds())),
		"For":  gen.IntRange(0, maxFaultMS),
	})
	properties := gopter.NewProperties(parameters)
	properties.Property("no plan of faults violates a guarantee", prop.ForAll(
		func(plan []fault) string { return strings.Join(simulate(seed, plan).violations, "\n") },
		gen.SliceOf(faultGen),
	))
	properties.TestingRun(t)
}
