// Package examples embeds the templates and parameters of the example deployments.
package examples

import "embed"

// Files holds one directory per deployment, with templates/NAME.json and parameters/TEAM/TEMPLATE.json.
//
//go:embed falaj van-der-merwe
var Files embed.FS
