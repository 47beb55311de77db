package capacity

import (
	"os"
	"testing"
)

func trial(t *testing.T, curves []Curve, quick bool) {
	for _, c := range curves {
		fits, err := c.Run(quick, os.Stderr)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, f := range fits {
			t.Logf("%-60s %v %.4g pred off %+.1f%% exp %.3f±%.3f law %v plan %.4g", Key(c, f.Quantity), f.Sizes, f.Values, 100*f.Off,
				f.Exponent, f.Error, f.Law, f.Law.At(c.Plan))
		}
	}
}

func TestTrialJudgement(t *testing.T) { trial(t, judgementCurves(), os.Getenv("LONG") == "") }
func TestTrialRights(t *testing.T)    { trial(t, rightsCurves(), os.Getenv("LONG") == "") }

func TestTrialSharing(t *testing.T) { trial(t, sharingCurves(), os.Getenv("LONG") == "") }

func TestTrialDesk(t *testing.T) { trial(t, deskCurves(), os.Getenv("LONG") == "") }
