// Package defaults sets optional fields to their default values.
package defaults

// Set assigns value to a field that has the zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
