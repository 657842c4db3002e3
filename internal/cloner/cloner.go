package cloner

import "reflect"

// Clone returns a deep copy of a value. Values behind unexported fields and interfaces are shared with the original, and a pointer that occurs
// twice becomes two values.
func Clone[T any](value T) T {
	return cloneValue(reflect.ValueOf(&value).Elem()).Interface().(T)
}

func cloneValue(v reflect.Value) reflect.Value {
	switch v.Kind() {
	case reflect.Pointer:
		return clonePointer(v)
	case reflect.Map:
		return cloneMap(v)
	case reflect.Slice:
		return cloneSlice(v)
	case reflect.Array:
		if plain(v.Type().Elem()) {
			return v
		}
		return cloneArray(v)
	case reflect.Struct:
		return cloneStruct(v)
	}
	return v
}

// plain reports whether values of a type hold no reference to others.
func plain(t reflect.Type) bool { return t.Kind() <= reflect.Complex128 || t.Kind() == reflect.String }

func clonePointer(v reflect.Value) reflect.Value {
	if v.IsNil() {
		return v
	}
	out := reflect.New(v.Type().Elem())
	out.Elem().Set(cloneValue(v.Elem()))
	return out
}

func cloneMap(v reflect.Value) reflect.Value {
	if v.IsNil() {
		return v
	}
	out := reflect.MakeMapWithSize(v.Type(), v.Len())
	for entry := v.MapRange(); entry.Next(); {
		out.SetMapIndex(entry.Key(), cloneValue(entry.Value()))
	}
	return out
}

func cloneSlice(v reflect.Value) reflect.Value {
	if v.IsNil() {
		return v
	}
	out := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
	if plain(v.Type().Elem()) {
		reflect.Copy(out, v)
		return out
	}
	for i := range v.Len() {
		out.Index(i).Set(cloneValue(v.Index(i)))
	}
	return out
}

func cloneArray(v reflect.Value) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	for i := range v.Len() {
		out.Index(i).Set(cloneValue(v.Index(i)))
	}
	return out
}

func cloneStruct(v reflect.Value) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	out.Set(v)
	for i := range v.NumField() {
		if field := out.Field(i); field.CanSet() {
			field.Set(cloneValue(v.Field(i)))
		}
	}
	return out
}
