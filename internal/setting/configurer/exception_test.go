package configurer_test

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
)

func exception(scope, name, field, value string) configurer.Exception {
	return configurer.Exception{Scope: scope, Name: name, Field: field, Value: json.RawMessage(value), Reason: "test"}
}

// TestResolve checks that an exception applies only to its team or service and
// that exceptions for several fields of one team are combined.
func TestResolve(t *testing.T) {
	g := gomega.NewWithT(t)
	co := configurer.Default()
	ef := configurer.Resolve(co, []configurer.Exception{
		exception("team", "counters", "weight", "3"),
		exception("team", "counters", "maxInFlight", "7"),
		exception("service", "counters", "idempotent", "true"),
		exception("objectives", "counters", "ttftMs", "[900, 1400, 10000, 60000]"),
	})
	g.Expect(ef.TeamFor("counters")).To(gomega.Equal(configurer.Team{Weight: 3, MaxInFlight: 7, MaxPrompt: co.Team.MaxPrompt}))
	g.Expect(ef.TeamFor("loans")).To(gomega.Equal(co.Team))
	g.Expect(ef.ServiceFor("counters").Idempotent).To(gomega.BeTrue())
	g.Expect(ef.ObjectivesFor("counters").TTFTMs[ml.Short]).To(gomega.Equal(int64(900)))
	g.Expect(ef.ObjectivesFor("loans")).To(gomega.Equal(co.Objectives))
}

// TestCheckException checks that the faults of an invalid exception name the
// field or the value.
func TestCheckException(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, check := range []struct {
		ex   configurer.Exception
		want string
	}{
		{exception("team", "t", "weight", "3"), ""},
		{exception("objectives", "t", "betweenTokensMs", "20"), ""},
		{exception("objectives", "t", "ttftMs", "[900]"), "ttftMs[1]"},
		{exception("objectives", "t", "targetPerCent", "90"), "targetPerCent"},
		{exception("team", "t", "weight", "-3"), "-3"},
		{exception("zone", "t", "weight", "3"), "zone"},
		{exception("team", " ", "weight", "3"), "name"},
		{configurer.Exception{Scope: "team", Name: "t", Field: "weight", Value: json.RawMessage("3"), Reason: " "}, "reason"},
	} {
		fs := check.ex.Check()
		if check.want == "" {
			g.Expect(fs).To(gomega.BeEmpty())
			continue
		}
		g.Expect(fs.Error()).To(gomega.ContainSubstring(check.want))
	}
}
