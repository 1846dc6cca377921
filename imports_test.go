package lichenroad_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "lichenroad/"

// layers lists the module's packages from the lowest layer to the highest. A package may import only packages of lower
// layers; test files are exempt. docs/ARCHITECTURE.md describes the layers.
var layers = [][]string{
	{"relay", "plan", "simwire", "experiment", "policy/window", "internal/buffer", "internal/httpwire", "internal/limits",
		"internal/metrics", "internal/sockets", "internal/xmlconfig", "lab/logsummary", "lab/relayconfig", "lab/slope", "compat"},
	{"settings", "policy/peerwire", "membership", "rollout", "trace", "internal/linewire", "internal/pgwire",
		"internal/planxml", "internal/readahead"},
	{"policy", "internal/config", "lab/fakes"},
	{"internal/pipeline", "internal/releasecontroller"},
	{"internal/clients", "internal/discovery", "internal/peers", "internal/platform", "internal/upstream"},
	{"internal/guard", "lab", "lab/scale"},
	{"lab/demo", "lab/live"},
	{"cmd/lichenroad", "cmd/simhost"},
}

func TestImportsGoDownwards(t *testing.T) {
	layerOf := map[string]int{}
	for layer, packages := range layers {
		for _, name := range packages {
			layerOf[name] = layer
		}
	}
	err := filepath.WalkDir(".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "tools") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return nil
		}
		from := path.Dir(filepath.ToSlash(file))
		layer, listed := layerOf[from]
		if !listed {
			t.Errorf("%s: package %s is not in the list of layers", file, from)
		}
		for _, imported := range importsOf(t, file) {
			if layerOf[imported] >= layer {
				t.Errorf("%s: %s (layer %d) imports %s (layer %d)", file, from, layer, imported, layerOf[imported])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// importsOf returns the folders of the module's packages that a file imports.
func importsOf(t *testing.T, file string) (packages []string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if folder, inModule := strings.CutPrefix(imported, modulePath); inModule {
			packages = append(packages, folder)
		}
	}
	return packages
}
