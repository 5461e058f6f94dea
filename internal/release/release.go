// Package release provides the version of the program.
package release

import "runtime/debug"

// Version is the release that CHANGELOG.md describes.
const Version = "0.2.0"

// Revision returns the commit that the program was built from, or "unknown" if the build did not record it.
func Revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}
