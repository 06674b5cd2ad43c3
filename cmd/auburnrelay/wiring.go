package main

import (
	"github.com/auburnrelay/auburnrelay/node"
	"github.com/auburnrelay/auburnrelay/platform"
	"github.com/auburnrelay/auburnrelay/platform/httpstore"
)

func init() {
	runNode = node.Run
	openStore = func(url string) (platform.Store, error) { return httpstore.New(url, httpstore.Options{}), nil }
}
