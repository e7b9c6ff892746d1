package mwsetting

import (
	"fmt"
	"os"
	"reflect"

	"github.com/jessevdk/go-flags"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwregistry"
)

// Locator returns the path at which a platform places the settings file; ok is
// false if it places none.
type Locator func() (path string, ok bool)

// FileLocators is the extension point for settings files that a platform places.
var FileLocators = mwregistry.New[struct{}, Locator]("settings file")

// FindFile returns the path of the first settings file that a platform placed, or
// an empty path if there is none.
func FindFile() (string, error) {
	for _, n := range FileLocators.Names() {
		l, _, err := FileLocators.Make(n, struct{}{})
		if err != nil {
			return "", err
		}
		if path, ok := l(); ok {
			return path, nil
		}
	}
	return "", nil
}

// FileArgs returns the settings of an INI file as flags. The caller puts them
// before the flags of the command line, which override them. Settings whose
// environment variable is set are omitted, because the environment overrides
// the file as well.
func FileArgs(path string) ([]string, error) {
	p := flags.NewNamedParser("mwnode", flags.None)
	g, err := p.AddGroup("Node", "", &Node{})
	if err != nil {
		return nil, mwcode.New(mwcode.Internal, mwcode.Wrap(err))
	}
	if err := flags.NewIniParser(p).ParseFile(path); err != nil {
		return nil, mwcode.New(mwcode.BadSetting, mwcode.File(path), mwcode.Wrap(err),
			mwcode.Expected("an INI file with the settings listed in docs/SETTINGS.md"))
	}
	var args []string
	for _, sub := range g.Groups() {
		for _, o := range sub.Options() {
			if _, env := os.LookupEnv(o.EnvKeyWithNamespace()); o.IsSet() && !o.IsSetDefault() && !env {
				args = append(args, flagArgs(o)...)
			}
		}
	}
	return args, nil
}

// flagArgs returns the flags that set o to its value.
func flagArgs(o *flags.Option) []string {
	flag := "--" + o.LongNameWithNamespace()
	v := reflect.ValueOf(o.Value())
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return []string{flag}
		}
		return nil
	case reflect.Slice:
		var out []string
		for i := range v.Len() {
			out = append(out, fmt.Sprintf("%s=%v", flag, v.Index(i).Interface()))
		}
		return out
	}
	return []string{fmt.Sprintf("%s=%v", flag, o.Value())}
}
