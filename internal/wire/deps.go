//go:build tools

package wire

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/gorilla/websocket"
	_ "github.com/hertz-contrib/websocket"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/yaml.v3"
	_ "pgregory.net/rapid"
)
