package main

import (
	"math"
	"slices"
)

// beyond is how many standard errors of the noise a mean difference must exceed
// to count: about 95 in 100 of the same code's differences stay within it.
const beyond = 2.0

// pairing names what two plays must share to be compared.
type pairing struct {
	Site, Day string
	Seed      uint64
}

func (p *play) pairing() pairing { return pairing{p.Site, p.Day, p.Seed} }

// comparison is a variant's worth beside the baseline's on one site.
type comparison struct {
	Variant    string
	Plays      int
	Broken     int // plays with a broken rule
	Median     float64
	Least      float64
	Most       float64
	Difference float64 // mean over the pairs, variant less baseline
	Noise      float64 // that a mean of so many pairs of the same code stays within
}

// certain tells whether the difference is beyond the noise.
func (c comparison) certain() bool { return math.Abs(c.Difference) > c.Noise }

// compare sets the plays of a variant on a site beside those of the baseline.
func compare(site, variant string, plays, base, again []play) comparison {
	first := byPairing(site, base)
	second := byPairing(site, again)
	c := comparison{Variant: variant}
	var worths, differences, same []float64
	for _, p := range plays {
		if p.Site != site {
			continue
		}
		worths = append(worths, p.Worth)
		if len(p.Broken) > 0 {
			c.Broken++
		}
		b, paired := first[p.pairing()]
		if !paired {
			continue
		}
		if s, twice := second[p.pairing()]; twice {
			same = append(same, s.Worth-b.Worth)
			// The mean of two plays is a steadier baseline than one.
			differences = append(differences, p.Worth-(b.Worth+s.Worth)/2)
		} else {
			differences = append(differences, p.Worth-b.Worth)
		}
	}
	c.Plays = len(worths)
	if c.Plays == 0 {
		return c
	}
	slices.Sort(worths)
	c.Least, c.Most = worths[0], worths[len(worths)-1]
	c.Median = worths[len(worths)/2]
	c.Difference = mean(differences)
	c.Noise = beyond * rms(same) / math.Sqrt(float64(max(len(differences), 1)))
	return c
}

func byPairing(site string, plays []play) map[pairing]play {
	out := make(map[pairing]play)
	for _, p := range plays {
		if p.Site == site {
			out[p.pairing()] = p
		}
	}
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// rms is the root of the mean square: differences of the same code have mean 0.
func rms(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v * v
	}
	return math.Sqrt(sum / float64(max(len(values), 1)))
}
