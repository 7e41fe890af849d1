// Package defaults fills optional fields of configurations.
package defaults

// Set gives a field with the zero value its default.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
