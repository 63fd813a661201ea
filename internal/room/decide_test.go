package room

import (
	"testing"
	"time"
)

// Pattern: a hundred hosts with old views under any load; the decision follows from the inputs
// alone, whatever their age.
func TestDecide(t *testing.T) {
	t.Parallel()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	place := func(ttfb, limit int, cost float64) *Place {
		return &Place{TTFB: ms(ttfb), Total: ms(ttfb + 500), Limit: ms(limit), Cost: cost}
	}
	good, late := place(100, 400, 0.3), place(700, 400, 0.9)
	for name, c := range map[string]struct {
		in      Inputs
		action  Action
		reason  Reason
		retryIn time.Duration
	}{
		"a target here":                        {Inputs{Here: good}, Serve, ReasonFits, 0},
		"late here, no other place":            {Inputs{Here: late}, Refuse, ReasonLate, ms(300)},
		"nothing anywhere":                     {Inputs{HereLimit: ms(400)}, Refuse, ReasonNoTarget, 0},
		"clearly cheaper there":                {Inputs{Here: good, There: place(100, 400, 0.17)}, Forward, ReasonCheaper, 0},
		"a little cheaper there":               {Inputs{Here: good, There: place(100, 400, 0.19)}, Serve, ReasonFits, 0},
		"late here, in time there":             {Inputs{Here: late, There: place(300, 400, 2)}, Forward, ReasonOnly, 0},
		"in time here, cheaper but late there": {Inputs{Here: good, There: place(500, 400, 0)}, Serve, ReasonFits, 0},
		"late here and there":                  {Inputs{Here: late, There: place(500, 400, 0.9)}, Refuse, ReasonLate, ms(300)},
		"late here and there, cheaper there":   {Inputs{Here: late, There: place(500, 400, 0)}, Refuse, ReasonLate, ms(100)},
		"only there":                           {Inputs{There: place(500, 600, 2)}, Forward, ReasonOnly, 0},
		"only there, and late":                 {Inputs{There: place(500, 400, 2)}, Refuse, ReasonLate, ms(100)},
		"only there, late, here soon":          {Inputs{There: place(500, 400, 2), HereIn: ms(50)}, Refuse, ReasonNoTarget, 0},
		"no connection here":                   {Inputs{Here: good, There: place(300, 400, 2), LastResort: true}, Forward, ReasonOnly, 0},
		"no connection here, late there":       {Inputs{Here: good, There: place(500, 400, 0), LastResort: true}, Serve, ReasonFits, 0},
		"out of step, no other place":          {Inputs{OutOfStep: true}, Refuse, ReasonOutOfStep, 0},
		"out of step, in time there":           {Inputs{OutOfStep: true, There: good}, Forward, ReasonOnly, 0},
		"stops before the end":                 {Inputs{Here: good, EndsIn: ms(599)}, Refuse, ReasonStopping, 0},
		"stops at the end":                     {Inputs{Here: good, EndsIn: ms(600)}, Serve, ReasonFits, 0},
		"takes nothing new":                    {Inputs{EndsIn: -1}, Refuse, ReasonStopping, 0},

		"gives way, room elsewhere":                 {Inputs{Here: good, Spare: place(200, 400, 0.5), Pressure: Pressure{Move: 1}}, Forward, ReasonDisplaced, 0},
		"gives way a little":                        {Inputs{Here: good, Spare: place(200, 400, 0.5), Pressure: Pressure{Move: 0.3}}, Serve, ReasonFits, 0},
		"gives way, late elsewhere":                 {Inputs{Here: good, Spare: place(500, 400, 0), Pressure: Pressure{Move: 1}}, Serve, ReasonFits, 0},
		"gives way, ends elsewhere after the stop":  {Inputs{Here: good, Spare: place(200, 400, 0.3), Pressure: Pressure{Move: 1}, EndsIn: ms(699)}, Serve, ReasonFits, 0},
		"gives way, ends elsewhere before the stop": {Inputs{Here: good, Spare: place(200, 400, 0.3), Pressure: Pressure{Move: 1}, EndsIn: ms(700)}, Forward, ReasonDisplaced, 0},
		"yields, ends elsewhere after the stop":     {Inputs{Here: good, Spare: place(200, 400, 0.3), Pressure: Pressure{Move: 1, Yield: 1}, EndsIn: ms(699)}, Refuse, ReasonYields, ms(100)},
		"gives way, no room elsewhere":              {Inputs{Here: good, There: place(200, 400, 0.5), Pressure: Pressure{Move: 1}}, Serve, ReasonFits, 0},
		"yields to urgent ones":                     {Inputs{Here: place(300, 400, 0.3), Pressure: Pressure{Move: 1, Yield: 0.5, Wait: ms(300)}}, Refuse, ReasonYields, ms(147)},
		"yields, room elsewhere":                    {Inputs{Here: place(300, 400, 0.3), Spare: place(390, 400, 2), Pressure: Pressure{Move: 0.5, Yield: 0.5, Wait: ms(300)}}, Forward, ReasonDisplaced, 0},
		"yields, ordinary place there":              {Inputs{Here: place(300, 400, 0.3), There: place(100, 400, 0), Pressure: Pressure{Move: 1, Yield: 1}}, Forward, ReasonCheaper, 0},
		"idle target at full pressure":              {Inputs{Here: place(0, 400, 0.1), Pressure: Pressure{Move: 1, Yield: 1}}, Serve, ReasonFits, 0},
		"gives way, but late here anyway":           {Inputs{Here: late, Pressure: Pressure{Move: 1, Yield: 1}}, Refuse, ReasonLate, ms(300)},
	} {
		if c.in.EndsIn == 0 {
			c.in.EndsIn = NoEnd
		}
		c.in.Draw = 0.5
		d := Decide(&c.in)
		if d.Action != c.action || d.Reason != c.reason || d.RetryIn != c.retryIn {
			t.Errorf("%s: got action %d, reason %s, retry in %s; want %d, %s, %s", name, d.Action, d.Reason, d.RetryIn, c.action, c.reason, c.retryIn)
		}
	}
}
