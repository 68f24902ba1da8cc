// Package standin is the root of the small stand-ins for the systems around
// croftvale: the platform, model engines and app services. They are for tests,
// the quickstart and the load tool, and are not shipped.
package standin
