package edge

import (
	"testing"
	"time"
)

var loadPolicies = []string{"today", "round_robin", "two_choices", "least_requests", "cost", "known"}

func d1Load() plainLoad {
	return plainLoad{daemons: 65, perSecond: 61, work: 30 * time.Millisecond, sigma: 0.7, speeds: []float64{0.6, 1, 1.6}, slowed: -1, failing: -1, length: 60 * time.Second}
}

func TestPlainLoadTable(t *testing.T) {
	with := func(l plainLoad, change func(*plainLoad)) plainLoad { change(&l); return l }
	d2 := with(d1Load(), func(l *plainLoad) { l.daemons, l.perSecond, l.work = 89, 46, 60*time.Millisecond })
	loads := []struct {
		name string
		load plainLoad
	}{
		{"d1", d1Load()},
		{"d1 slowed", with(d1Load(), func(l *plainLoad) { l.slowed = 2 })},
		{"d1 failing", with(d1Load(), func(l *plainLoad) { l.failing = 2 })},
		{"d2 slowed", with(d2, func(l *plainLoad) { l.slowed = 2 })},
		{"d2 slowed 0", with(d2, func(l *plainLoad) { l.slowed = 0 })},
		{"d2 sigma 1.6 slowed", with(d2, func(l *plainLoad) { l.slowed, l.sigma = 2, 1.6 })},
		{"d2 x4", with(d2, func(l *plainLoad) { l.perSecond *= 4 })},
		{"d2 x4 shift", with(d2, func(l *plainLoad) { l.perSecond *= 4; l.shift = true })},
		{"d2 x6", with(d2, func(l *plainLoad) { l.perSecond *= 6 })},
		{"d2 x3 slowed", with(d2, func(l *plainLoad) { l.perSecond *= 3; l.slowed = 2 })},
		{"d2 x3 failing", with(d2, func(l *plainLoad) { l.perSecond *= 3; l.failing = 2 })},
		{"d2 slowed, no reports", with(d2, func(l *plainLoad) { l.slowed = 2; l.noReports = true })},
		{"d2 x3 slowed, no reports", with(d2, func(l *plainLoad) { l.perSecond *= 3; l.slowed = 2; l.noReports = true })},
		{"d2 slowed, 9 liars", with(d2, func(l *plainLoad) { l.slowed = 2; l.liars = 9 })},
		{"d2 slowed, late", with(d2, func(l *plainLoad) { l.slowed = 2; l.delay = time.Second })},
		{"one daemon x3 slowed", with(d2, func(l *plainLoad) { l.perSecond *= 3; l.slowed = 2; l.daemons = 1 })},
	}
	for _, l := range loads {
		for _, policy := range loadPolicies {
			t.Logf("%-25s %-15s %v", l.name, policy, play(l.load, policy, 1))
		}
	}
}
