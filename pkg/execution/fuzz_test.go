package execution

import "testing"

// Guards against a ballot with two text forms: nodes could then disagree on whether two ballots are equal.
func FuzzParseBallot(f *testing.F) {
	f.Add("")
	f.Add("1796356025496/00000000000000ff/seeb-tracker-1")
	f.Add("1/1/a")
	f.Add("01/0000000000000001/a")
	f.Fuzz(func(t *testing.T, text string) {
		if ballot, err := ParseBallot(text); err == nil && ballot.String() != text {
			t.Fatalf("%q was read as %q", text, ballot)
		}
	})
}
