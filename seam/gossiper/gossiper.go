// Package gossiper keeps track of which instances are alive.
package gossiper
