package fleetdemo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAPlanIsItsSeeds: the same seed plans the same, another one something else.
func TestAPlanIsItsSeeds(t *testing.T) {
	require.Equal(t, makePlan(3, time.Minute, demoSize, UsualCut), makePlan(3, time.Minute, demoSize, UsualCut))
	require.NotEqual(t, makePlan(3, time.Minute, demoSize, UsualCut), makePlan(4, time.Minute, demoSize, UsualCut))
	kinds := map[string]bool{}
	for _, a := range makePlan(5, 10*time.Minute, demoSize, UsualCut) {
		kinds[a.Kind] = true
	}
	require.Len(t, kinds, len(actWeights), "each kind comes")
}

// TestPlantedFaultsAreFound plants one fault a rule into a record, and what looks like it and is none.
func TestPlantedFaultsAreFound(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	limits := limits{Version: 3 * time.Second, Apply: 2 * time.Second, Grace: 4 * time.Second, Evacuation: 3 * time.Second, Drain: 3 * time.Second, Contact: 3 * time.Second, Slack: 50 * time.Millisecond}
	cut := ask{ID: "a", Sent: at(10), End: at(11), Deadline: 8 * time.Second, Outcome: outcomeCut}
	passedOn := map[string][]arrival{"a": {{"e1", at(10.1)}}}
	toZone1 := map[string][]arrival{"a": {{"i-2/1", at(10.1)}}}
	fromCore := between([]string{frontIP(0)}, []string{controllerIP(1)})
	otherFront := between([]string{frontIP(1)}, []string{controllerIP(1)})
	betweenFronts := between([]string{frontIP(0)}, []string{frontIP(1)})
	useByT1 := promptUse{User: promptMaker{"a", "t1"}, Maker: promptMaker{"b", isolatedTenant}, Part: "sys", At: at(10.1)}
	useByT3 := promptUse{User: promptMaker{"a", "t1"}, Maker: promptMaker{"b", "t3"}, Part: "sys", At: at(10.1)}
	cutInEvent := streamEnding{framing: framingNone, end: endFIN, inEvent: true}
	cutBetweenEvents := streamEnding{framing: framingNone, end: endFIN}
	resetBetweenEvents := streamEnding{framing: framingNone, end: endReset}
	cutChunked := streamEnding{framing: framingChunked, end: endFIN}
	inCore := between([]string{controllerIP(0)}, []string{controllerIP(1)})
	for name, c := range map[string]struct {
		record record
		rule   string // "" if none is broken
	}{
		"cut":                          {record{Asks: []ask{cut}, Arrivals: passedOn}, ruleLost},
		"cut and never passed on":      {record{Asks: []ask{cut}}, ""},
		"cut by a crash":               {record{Asks: []ask{cut}, Arrivals: passedOn, Crashes: map[string]time.Time{"e1": at(11)}}, ""},
		"cut, another engine crashed":  {record{Asks: []ask{cut}, Arrivals: passedOn, Crashes: map[string]time.Time{"e2": at(11)}}, ruleLost},
		"cut, crashed long before":     {record{Asks: []ask{cut}, Arrivals: passedOn, Crashes: map[string]time.Time{"e1": at(5)}}, ruleLost},
		"cut with its front":           {record{Asks: []ask{cut}, Arrivals: passedOn, Fronts: []machineTrouble{{span{at(11), at(12)}, 0, actKillFront}}}, ""},
		"cut, another front killed":    {record{Asks: []ask{cut}, Arrivals: passedOn, Fronts: []machineTrouble{{span{at(11), at(12)}, 1, actKillFront}}}, ruleLost},
		"cut soon after SIGTERM":       {record{Asks: []ask{cut}, Arrivals: passedOn, Fronts: []machineTrouble{{span{at(10.5), at(15)}, 0, actTermFront}}}, ruleLost},
		"cut at the end of the grace":  {record{Asks: []ask{cut}, Arrivals: passedOn, Fronts: []machineTrouble{{span{at(6.9), at(12)}, 0, actTermFront}}}, ruleLost},
		"begun before, grace over":     {record{Asks: []ask{{ID: "a", Sent: at(7), End: at(11), Deadline: 8 * time.Second, Outcome: outcomeCut}}, Arrivals: passedOn, Fronts: []machineTrouble{{span{at(7.2), at(12)}, 0, actTermFront}}}, ""},
		"its time was up":              {record{Asks: []ask{{ID: "a", Sent: at(3), End: at(11), Deadline: 8 * time.Second, Outcome: outcomeCut}}, Arrivals: passedOn}, ""},
		"ran twice":                    {record{Asks: []ask{{ID: "a", Outcome: outcomeAnswer, Status: 502}}, Runs: []run{{"a", "e1", 1, at(1)}, {"a", "e2", 1, at(2)}}}, ruleTwice},
		"ran twice and may":            {record{Asks: []ask{{ID: "a", Outcome: outcomeAnswer, Status: 502, Repeats: true}}, Runs: []run{{"a", "e1", 1, at(1)}, {"a", "e2", 1, at(2)}}}, ""},
		"refused and ran":              {record{Asks: []ask{{ID: "a", Outcome: outcomeAnswer, Status: 503}}, Runs: []run{{"a", "e1", 1, at(1)}}}, ruleRefused},
		"bytes of two runs":            {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200, Mismatch: "byte 9"}}}, ruleOrder},
		"bytes of two runs, then cut":  {record{Asks: []ask{{ID: "a", Outcome: outcomeCut, Status: 200, Mismatch: "byte 9"}}}, ruleOrder},
		"cut in an event unseen":       {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200, OwnPart: true}}, Endings: map[string][]streamEnding{"a": {cutInEvent}}}, ruleMixed},
		"cut between events unseen":    {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200, OwnPart: true}}, Endings: map[string][]streamEnding{"a": {cutBetweenEvents}}}, ""},
		"reset between events":         {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200, OwnPart: true}}, Endings: map[string][]streamEnding{"a": {resetBetweenEvents}}}, ruleMixed},
		"chunked and cut":              {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200, OwnPart: true}}, Endings: map[string][]streamEnding{"a": {cutChunked}}}, ruleMixed},
		"cut and another's":            {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200}}, Endings: map[string][]streamEnding{"a": {cutBetweenEvents}}}, ruleMixed},
		"another was cut":              {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200, OwnPart: true}}, Endings: map[string][]streamEnding{"b": {cutBetweenEvents}}}, ruleMixed},
		"cut by its engine":            {record{Asks: []ask{cut}, Arrivals: passedOn, Endings: map[string][]streamEnding{"a": {cutChunked}}}, ""},
		"not whole":                    {record{Asks: []ask{{ID: "a", Outcome: outcomeServed, Status: 200}}}, ruleMixed},
		"old weights":                  {record{Runs: []run{{"a", "e1", 1, at(5.1)}}, Weights: []ordered{{2, at(1), at(2)}}}, ruleVersion},
		"old weights in time":          {record{Runs: []run{{"a", "e1", 1, at(4.9)}}, Weights: []ordered{{2, at(1), at(2)}}}, ""},
		"superseded twice":             {record{Runs: []run{{"a", "e1", 1, at(5.1)}}, Weights: []ordered{{2, at(1), at(2)}, {3, at(4), at(4.5)}}}, ruleVersion},
		"the second is young":          {record{Runs: []run{{"a", "e1", 2, at(5.1)}}, Weights: []ordered{{2, at(1), at(2)}, {3, at(4), at(4.5)}}}, ""},
		"old weights, frozen":          {record{Asks: []ask{{ID: "a"}}, Runs: []run{{"a", "e1", 1, at(5.1)}}, Weights: []ordered{{2, at(1), at(2)}}, Fronts: []machineTrouble{{span{at(3), at(5)}, 0, actFreeze}}}, ""},
		"a dropped route serves":       {record{Asks: []ask{{ID: "a", Extra: 3, Sent: at(10), End: at(10.1), Outcome: outcomeServed, Status: 200, Whole: true}}, Configs: []ordered{{3, at(1), at(2)}, {4, at(7), at(7.5)}}}, ruleConfig},
		"a dropped route, not yet":     {record{Asks: []ask{{ID: "a", Extra: 3, Sent: at(9), End: at(9.1), Outcome: outcomeServed, Status: 200, Whole: true}}, Configs: []ordered{{3, at(1), at(2)}, {4, at(7), at(7.5)}}}, ""},
		"a new route unknown":          {record{Asks: []ask{{ID: "a", Extra: 3, Sent: at(5), End: at(5.1), Outcome: outcomeAnswer, Status: 404}}, Configs: []ordered{{3, at(1), at(2)}}}, ruleConfig},
		"a new route, dropped by now":  {record{Asks: []ask{{ID: "a", Extra: 3, Sent: at(5), End: at(5.1), Outcome: outcomeAnswer, Status: 404}}, Configs: []ordered{{3, at(1), at(2)}, {4, at(5), time.Time{}}}}, ""},
		"a dropped route, cut off":     {record{Asks: []ask{{ID: "a", Extra: 3, Sent: at(10), End: at(10.1), Outcome: outcomeServed, Status: 200, Whole: true}}, Configs: []ordered{{3, at(1), at(2)}, {4, at(7), at(7.5)}}, Cuts: []cutTrouble{{span{at(5), at(6)}, fromCore}}}, ""},
		"a dropped route, other cut":   {record{Asks: []ask{{ID: "a", Extra: 3, Sent: at(10), End: at(10.1), Outcome: outcomeServed, Status: 200, Whole: true}}, Configs: []ordered{{3, at(1), at(2)}, {4, at(7), at(7.5)}}, Cuts: []cutTrouble{{span{at(5), at(6)}, otherFront}}}, ruleConfig},
		"old weights after a cut":      {record{Runs: []run{{"a", "e1", 1, at(9.9)}}, Weights: []ordered{{2, at(1), at(2)}}, Cuts: []cutTrouble{{span{at(1), at(4)}, otherFront}}}, ""},
		"old weights long after a cut": {record{Runs: []run{{"a", "e1", 1, at(10.1)}}, Weights: []ordered{{2, at(1), at(2)}}, Cuts: []cutTrouble{{span{at(1), at(4)}, otherFront}}}, ruleVersion},
		"evacuated":                    {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(6.9), time.Time{}}}}, ruleEvac},
		"evacuated, in time":           {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(7.2), time.Time{}}}}, ""},
		"evacuated, another zone":      {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-0", at(2), time.Time{}}}}, ""},
		"evacuated and taken back":     {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(2), at(10)}}}, ""},
		"evacuated, taken back later":  {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(2), at(10.2)}}}, ruleEvac},
		"evacuated, not acknowledged":  {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", time.Time{}, time.Time{}}}}, ""},
		"evacuated, its front cut off": {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(2), time.Time{}}}, Cuts: []cutTrouble{{span{at(6), at(7.2)}, fromCore}}}, ""},
		"evacuated, in touch again":    {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(2), time.Time{}}}, Cuts: []cutTrouble{{span{at(6), at(7)}, fromCore}}}, ruleEvac},
		"evacuated, front cut off":     {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(2), time.Time{}}}, Cuts: []cutTrouble{{span{at(6), at(11)}, betweenFronts}}}, ruleEvac},
		"evacuated, core cut":          {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Evacuations: []evacuation{{"zone-1", at(2), time.Time{}}}, Cuts: []cutTrouble{{span{at(9), at(11)}, inCore}}}, ""},
		"isolated":                     {record{Asks: []ask{{ID: "a"}}, Uses: []promptUse{useByT1}, Configs: []ordered{{1, at(1), at(2)}, {2, at(7), at(8)}}}, ruleWall},
		"isolated, in time":            {record{Asks: []ask{{ID: "a"}}, Uses: []promptUse{useByT1}, Configs: []ordered{{1, at(1), at(2)}, {2, at(7), at(8.1)}}}, ""},
		"isolated, not acknowledged":   {record{Asks: []ask{{ID: "a"}}, Uses: []promptUse{useByT1}, Configs: []ordered{{1, at(1), at(2)}, {2, at(7), time.Time{}}}}, ""},
		"isolated, opened since":       {record{Asks: []ask{{ID: "a"}}, Uses: []promptUse{useByT1}, Configs: []ordered{{2, at(1), at(2)}, {3, at(3), at(4)}, {4, at(10), time.Time{}}}}, ""},
		"isolated twice":               {record{Asks: []ask{{ID: "a"}}, Uses: []promptUse{useByT1}, Configs: []ordered{{2, at(1), at(2)}, {3, at(9), at(9.5)}}}, ruleWall},
		"isolated, others shared":      {record{Asks: []ask{{ID: "a"}}, Uses: []promptUse{useByT3}, Configs: []ordered{{2, at(1), at(2)}}}, ""},
		"isolated, its front thawed":   {record{Asks: []ask{{ID: "a"}}, Uses: []promptUse{useByT1}, Configs: []ordered{{2, at(1), at(2)}}, Fronts: []machineTrouble{{span{at(6), at(8)}, 0, actFreeze}}}, ""},
		"draining":                     {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Drains: map[string]time.Time{"i-2/1": at(6.9)}}, ruleDrain},
		"draining, in time":            {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Drains: map[string]time.Time{"i-2/1": at(7.2)}}, ""},
		"another life was draining":    {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Drains: map[string]time.Time{"i-2": at(2)}}, ""},
		"draining, its front thawed":   {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Drains: map[string]time.Time{"i-2/1": at(2)}, Fronts: []machineTrouble{{span{at(6), at(8)}, 0, actFreeze}}}, ""},
		"draining, another thawed":     {record{Asks: []ask{{ID: "a"}}, Arrivals: toZone1, Drains: map[string]time.Time{"i-2/1": at(2)}, Fronts: []machineTrouble{{span{at(6), at(8)}, 1, actFreeze}}}, ruleDrain},
		"a new route at a fresh front": {record{Asks: []ask{{ID: "a", Extra: 3, Sent: at(5), End: at(5.1), Outcome: outcomeAnswer, Status: 404}}, Configs: []ordered{{3, at(1), at(2)}}, Fronts: []machineTrouble{{span{at(2), at(4)}, 0, actKillFront}}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c.record.Limits = limits
			requireRule(t, c.rule, &c.record)
		})
	}
}

// requireRule holds that a record breaks one rule once and no other, or none for "".
func requireRule(t *testing.T, rule string, r *record) {
	t.Helper()
	findings := judge(r)
	if rule == "" {
		require.Empty(t, findings)
		return
	}
	require.Len(t, findings, 1)
	require.Equal(t, rule, findings[0].Rule)
}
