package settingsdoc

import (
	"path/filepath"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"
)

const source = `package x
type settings struct {
	// Name names it. Unit: text. Default: none, required.
	Name string
	Limits limits
}
type limits struct {
	// Most is the bound. Unit: requests. Default: 7.
	Most int
	// Bare has neither.
	Bare int
}`

type settings struct {
	Name   string `json:"name"`
	Limits limits `json:"limits"`
}

type limits struct {
	Most int `json:"most"`
	Bare int `json:"bare"`
}

// Guards against a settings reference that passes its checks although a default
// is wrong, a setting has no description, or the page is outdated.
func TestCheckDefaultsAndPageFindErrors(t *testing.T) {
	g := NewWithT(t)
	all := Describe(source, reflect.TypeFor[settings]())
	g.Expect(all).To(HaveLen(3))
	g.Expect(all[1]).To(Equal(Description{Name: "limits.most", Text: "The bound.", Unit: "requests", Default: "7"}))
	g.Expect(CheckDefaults(all, settings{Limits: limits{Most: 7}})).To(HaveLen(2), "limits.bare: its default and its unit")
	g.Expect(CheckDefaults(all, settings{Limits: limits{Most: 8}})).To(HaveLen(3))
	g.Expect(Tables(all)).To(ContainSubstring("## limits"))

	page := filepath.Join(t.TempDir(), "page.md")
	g.Expect(CheckPage(page, "text", false)).NotTo(Succeed())
	g.Expect(CheckPage(page, "text", true)).To(Succeed())
	g.Expect(CheckPage(page, "text", false)).To(Succeed())
	g.Expect(CheckPage(page, "newer", false)).NotTo(Succeed())
}
