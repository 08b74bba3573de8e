package experiment

import (
	"context"
	"embed"
	"math"
	"os"
	"path"
	"runtime"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

//go:embed patterns/*.json
var patterns embed.FS

//go:embed variants/*.json
var variantLists embed.FS

// Patterns returns the names of the scenarios that come with the program, sorted.
func Patterns() []string { return embeddedNames(patterns, "patterns") }

// VariantLists returns the names of the lists of variants that come with the program, sorted.
func VariantLists() []string { return embeddedNames(variantLists, "variants") }

func embeddedNames(files embed.FS, dir string) []string {
	entries, err := files.ReadDir(dir)
	if err != nil {
		return nil // cannot happen: the directory is embedded
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	slices.Sort(names)
	return names
}

// Load reads the scenario of the given name, or from a file if it is not the name of a pattern.
func Load(name string) (*Scenario, error) {
	data, err := patterns.ReadFile(path.Join("patterns", name+".json"))
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, apierror.New(apierror.NotFound, "reading the scenario: "+err.Error(), "pass a file, or one of "+strings.Join(Patterns(), ", "))
		}
	}
	return Parse(data)
}

// LoadVariants replaces the variants of the scenario by a list: one of VariantLists, or a JSON file with an array of variants.
func (s *Scenario) LoadVariants(name string) error {
	data, err := variantLists.ReadFile(path.Join("variants", name+".json"))
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return apierror.New(apierror.NotFound, "reading the variants: "+err.Error(), "pass a file, or one of "+strings.Join(VariantLists(), ", "))
		}
	}
	s.Variants = nil
	if err := decode(data, &s.Variants); err != nil {
		return err
	}
	return s.check().Err()
}

// VariantResult holds the results of one variant.
type VariantResult struct {
	Variant string
	Plays   []*Result // by seed
}

// Mean returns the mean of a value over the plays, and its standard deviation.
func (v *VariantResult) Mean(value func(*Result) float64) (mean, deviation float64) {
	for _, r := range v.Plays {
		mean += value(r) / float64(len(v.Plays))
	}
	if len(v.Plays) < 2 {
		return mean, 0
	}
	for _, r := range v.Plays {
		deviation += (value(r) - mean) * (value(r) - mean) / float64(len(v.Plays)-1)
	}
	return mean, math.Sqrt(deviation)
}

// Run plays all variants of a scenario, each with the same seeds. It calls progress after each play with the number of plays that have
// ended and their total. The error is that of ctx, or says which variant is not valid.
func Run(ctx context.Context, s *Scenario, progress func(done, total int)) ([]VariantResult, error) {
	results := make([]VariantResult, len(s.Variants))
	ended := make(chan struct{}, len(s.Variants)*s.Seeds)
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)-1))
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for done := 1; done <= cap(ended); done++ {
			if _, ok := <-ended; !ok {
				return
			}
			progress(done, cap(ended))
		}
	}()
	for i := range s.Variants {
		p, err := s.Variants[i].policies()
		if err != nil {
			return nil, err
		}
		results[i] = VariantResult{Variant: s.Variants[i].Name, Plays: make([]*Result, s.Seeds)}
		for seed := range s.Seeds {
			group.Go(func() error {
				result, err := newFleet(s, p, uint64(seed+1)).play(ctx)
				results[i].Plays[seed] = result
				ended <- struct{}{}
				return err
			})
		}
	}
	err := group.Wait()
	close(ended)
	<-reported
	return results, err
}
