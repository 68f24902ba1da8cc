package main

import (
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/croftvale/croftvale/gateway"
)

// table writes the comparison of every variant on every site as Markdown, and
// under it the parts and prices of worth.
func table(w io.Writer, sites []string, variants []variant, plays []play) {
	base, again := of(variants[0].Name, false, plays), of(variants[0].Name, true, plays)
	fmt.Fprintln(w, "| site | variant | plays | broken | median worth | least to most | difference | noise | beyond noise |")
	fmt.Fprintln(w, "|---|---|---:|---:|---:|---:|---:|---:|---|")
	for _, site := range sites {
		for _, v := range variants {
			c := compare(site, v.Name, of(v.Name, false, plays), base, again)
			verdict := "no"
			if c.certain() {
				verdict = "**yes**"
			}
			if v.Name == variants[0].Name {
				verdict = "-"
			} else if len(again) == 0 {
				verdict = "noise not measured"
			}
			fmt.Fprintf(w, "| %s | %s | %d | %d | %.3f | %.3f to %.3f | %+.4f | %.4f | %s |\n",
				siteName(site), c.Variant, c.Plays, c.Broken, c.Median, c.Least, c.Most, c.Difference, c.Noise, verdict)
		}
	}
	fmt.Fprintln(w)
	breakdown(w, sites, variants, plays)
}

// pricesShown is how many prices are listed; the others are small.
const pricesShown = 6

// breakdown writes the mean of each part of worth and of the largest prices.
func breakdown(w io.Writer, sites []string, variants []variant, plays []play) {
	for _, site := range sites {
		for _, v := range variants {
			parts, prices := make(map[string]float64), make(map[string]float64)
			var got callers
			n := 0.0
			for _, p := range of(v.Name, false, plays) {
				if p.Site != site {
					continue
				}
				n++
				add(parts, p.Parts)
				add(prices, p.Prices)
				got.add(gateway.OutcomeCountsLine{Teams: p.Callers.Teams, Routes: p.Callers.Routes})
			}
			if n > 0 {
				fmt.Fprintf(w, "- %s, %s: %s; less %s\n", siteName(site), v.Name, largest(parts, n, len(parts)), largest(prices, n, pricesShown))
				fmt.Fprintf(w, "  callers: %s\n", callersText(got, n))
			}
		}
	}
}

func add(sum, values map[string]float64) {
	for name, v := range values {
		sum[name] += v
	}
}

// largest lists the n largest means by name.
func largest(sums map[string]float64, count float64, n int) string {
	names := make([]string, 0, len(sums))
	for name := range sums {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b], sums[a]), strings.Compare(a, b))
	})
	var out []string
	for _, name := range names[:min(n, len(names))] {
		out = append(out, fmt.Sprintf("%s %.4f", name, sums[name]/count))
	}
	return strings.Join(out, ", ")
}

// of returns the plays of a variant.
func of(name string, again bool, plays []play) []play {
	var out []play
	for _, p := range plays {
		if p.Variant == name && p.Again == again {
			out = append(out, p)
		}
	}
	return out
}

func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }
