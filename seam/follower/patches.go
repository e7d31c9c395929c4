package follower

import (
	"fmt"
	"slices"

	"primroseseam.org/seam/patcher"
)

// ObjectPatch stands for an object in a [Delta]: the object results when the patch is applied to the
// receiver's version of the object.
type ObjectPatch struct {
	Name     string
	Revision uint64
	Patch    patcher.Patch
}

// maxPatchedObjects is the number of objects of which a follower keeps the latest changes. It bounds what
// a request for changes has to name.
const maxPatchedObjects = 64

// WithPatches makes the follower pass on the changes of an object in place of the whole object to those
// who have an earlier version of it. The objects should be large and change in small parts.
func WithPatches() Option {
	return func(f *Follower) { f.histories = map[string]*patcher.History{} }
}

// Versions returns the digests of the objects of which this follower accepts patches, by the objects'
// names.
func (f *Follower) Versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := map[string]uint64{}
	for name, h := range f.histories {
		if d := h.Latest(); d != nil {
			versions[name] = d.Digest()
		}
	}
	return versions
}

// ResolvePatches returns a delta with the objects for which patches stood. It returns an error if an object
// isn't of the version that a patch was made for; a delta without patches must then be requested. If the
// delta is no newer than the copy, the patches are dropped, as such a delta is ignored.
func (f *Follower) ResolvePatches(d Delta) (Delta, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasCopy && d.Position <= f.view.Position {
		d.Patches = nil
		return d, nil
	}
	objects := slices.Clone(d.Objects)
	for _, p := range d.Patches {
		var latest *patcher.Document
		if h := f.histories[p.Name]; h != nil {
			latest = h.Latest()
		}
		if latest == nil {
			return Delta{}, fmt.Errorf("patch of object %q: %w", p.Name, patcher.ErrOtherVersion)
		}
		document, err := latest.Apply(p.Patch)
		if err != nil {
			return Delta{}, fmt.Errorf("patch of object %q: %w", p.Name, err)
		}
		objects = append(objects, Object{Name: p.Name, Revision: p.Revision, Spec: document.Text(), document: document})
	}
	d.Objects, d.Patches = objects, nil
	return d, nil
}

// replaceByPatches replaces the objects of a delta by patches where the receiver accepts them. The lock
// must be held.
func (f *Follower) replaceByPatches(d *Delta, versions map[string]uint64) {
	var objects []Object
	for _, o := range d.Objects {
		if p, ok := f.patch(o.Name, versions); ok {
			d.Patches = append(d.Patches, ObjectPatch{Name: o.Name, Revision: o.Revision, Patch: p})
			continue
		}
		objects = append(objects, o)
	}
	d.Objects = objects
}

// patch returns a patch of an object for a receiver with given versions, if there is one. The lock
// must be held.
func (f *Follower) patch(name string, versions map[string]uint64) (patcher.Patch, bool) {
	h := f.histories[name]
	base, ok := versions[name]
	if h == nil || !ok {
		return patcher.Patch{}, false
	}
	return h.PatchFrom(base)
}

// recordVersions records the changes from the stored objects to the given ones, which it splits into
// parts. The lock must be held.
func (f *Follower) recordVersions(objects map[string]Object) {
	if f.histories == nil {
		return
	}
	for name, o := range objects {
		h, ok := f.histories[name]
		if !ok {
			if len(f.histories) >= maxPatchedObjects {
				continue
			}
			h = &patcher.History{}
			f.histories[name] = h
		}
		if old, ok := f.stored[name]; ok && old.Revision == o.Revision {
			objects[name] = old
			continue
		}
		if o.document == nil {
			// What can't be split is passed on whole.
			o.document, _ = patcher.Parse(o.Spec)
			objects[name] = o
		}
		h.Add(o.document)
	}
	for name := range f.histories {
		if _, ok := objects[name]; !ok {
			delete(f.histories, name)
		}
	}
}
