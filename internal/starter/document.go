package starter

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// Document returns a page in Markdown with the flags of a program and of its
// subcommands.
func Document(cmd *cli.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Settings of %s\n\n", cmd.Name)
	fmt.Fprintf(&b, "%s.\n\n", strings.ToUpper(cmd.Usage[:1])+cmd.Usage[1:])
	b.WriteString("Written by the test TestSettings from the program's flags. A flag goes before\nits variable, a variable before the default.\n")
	documentCommand(&b, "", cmd)
	return b.String()
}

func documentCommand(b *strings.Builder, parent string, cmd *cli.Command) {
	name := strings.TrimSpace(parent + " " + cmd.Name)
	if parent != "" {
		fmt.Fprintf(b, "\n## %s\n\n%s.\n", strings.TrimSpace(name+" "+cmd.ArgsUsage), strings.ToUpper(cmd.Usage[:1])+cmd.Usage[1:])
	}
	if len(cmd.Flags) > 0 {
		b.WriteString("\n| flag | variable | default | meaning |\n|---|---|---|---|\n")
	}
	for _, f := range cmd.Flags {
		d, ok := f.(cli.DocGenerationFlag)
		if !ok {
			continue
		}
		usage := strings.ReplaceAll(d.GetUsage(), "`", "")
		fmt.Fprintf(b, "| `--%s` | %s | %s | %s |\n", f.Names()[0], codeSpan(strings.Join(d.GetEnvVars(), ", ")), codeSpan(defaultText(d)), usage)
	}
	for _, sub := range cmd.Commands {
		documentCommand(b, name, sub)
	}
}

// defaultText returns the default of a flag, or "" if it is hidden or false.
func defaultText(d cli.DocGenerationFlag) string {
	if v, ok := d.(interface{ IsDefaultVisible() bool }); ok && !v.IsDefaultVisible() {
		return ""
	}
	if d.GetValue() == "false" {
		return ""
	}
	return strings.Trim(d.GetValue(), `"[]`)
}

func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
