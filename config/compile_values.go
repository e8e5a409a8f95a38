package config

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Each function below reads one key of the current section. A value that is not
// accepted adds a fault, and the function returns the default.

func (c *compiler) text(key, def string) string {
	c.used[key] = true
	if !c.section.HasKey(key) {
		return def
	}
	return c.section.Key(key).Value()
}

func (c *compiler) number(key string, def, low, high float64) float64 {
	text := c.text(key, "")
	if text == "" {
		return def
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= low && v <= high) {
		c.addFault(key, "%q is not accepted, want a number from %g to %g", text, low, high)
		return def
	}
	return v
}

func (c *compiler) integer(key string, def, low, high int) int {
	text := c.text(key, "")
	if text == "" {
		return def
	}
	v, err := strconv.Atoi(text)
	if err != nil || v < low || v > high {
		c.addFault(key, "%q is not accepted, want a whole number from %d to %d", text, low, high)
		return def
	}
	return v
}

func (c *compiler) duration(key string, def, high time.Duration) time.Duration {
	text := c.text(key, "")
	if text == "" {
		return def
	}
	v, err := time.ParseDuration(text)
	if err != nil || v <= 0 || v > high {
		c.addFault(key, "%q is not accepted, want a duration up to %s, such as 250ms", text, high)
		return def
	}
	return v
}

func (c *compiler) boolean(key string, def bool) bool {
	return c.enum(key, strconv.FormatBool(def), "true", "false") == "true"
}

func (c *compiler) enum(key, def string, accepted ...string) string {
	v := c.text(key, def)
	if !slices.Contains(accepted, v) {
		c.addFault(key, "%q is not accepted, want one of %s", v, strings.Join(accepted, ", "))
		return def
	}
	return v
}

// time reads a time in RFC 3339. It returns the zero time if the key is absent.
func (c *compiler) time(key string) time.Time {
	text := c.text(key, "")
	if text == "" {
		return time.Time{}
	}
	v, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		c.addFault(key, "%q is not accepted, want a time such as 2026-01-02T15:04:05Z", text)
	}
	return v
}
