package ledger

// maxAsked bounds the homes asked about one key.
const maxAsked = 64

// ClaimFromOthers asks other possible homes of a key that self holds as running
// meanwhile, and those that they name. Run means that none of them ran it or
// will while its fence stands. claim asks one home; its error means that the
// answer is not known.
func ClaimFromOthers(self string, homes []string, claim func(home string) (Verdict, error)) Verdict {
	asked := map[string]bool{self: true}
	for len(homes) > 0 {
		home := homes[0]
		homes = homes[1:]
		if asked[home] {
			continue
		}
		asked[home] = true
		v, err := claim(home)
		if err != nil || len(asked) > maxAsked {
			return Verdict{Decision: PriorUnknown}
		}
		if v.Decision != Moved {
			return v
		}
		if v.AlsoClaimFrom != "" {
			homes = append(homes, v.AlsoClaimFrom)
		}
	}
	return Verdict{Decision: Run}
}
