// Package release tells which version this is.
package release

import "runtime/debug"

// Version is the release that CHANGELOG.md describes.
const Version = "0.2.0"

// Revision is the commit that the program was built from; "unknown" where the build did not note it.
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
