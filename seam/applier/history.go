package applier

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
)

// historySlots is the number of replaced configurations that the history holds.
const historySlots = 64

// slotName returns the name of the history object for the configuration with a
// sequence. Configurations whose sequences differ by historySlots have the same name,
// so that the later one replaces the earlier one.
func slotName(sequence int64) string { return fmt.Sprintf("%02d", sequence%historySlots) }

// archive copies the current configuration to the history before it is replaced. All
// operators that replace the same configuration write the same value, so a race
// between them is harmless. archive writes nothing if the history object already holds
// this configuration or a later one.
func (a *Applier) archive(ctx context.Context, current Current) error {
	if current.Change == nil {
		return nil
	}
	slot, err := a.store.Get(ctx, storer.KindConfigHistory, slotName(current.Sequence()))
	if err != nil && coder.CodeOf(err) != coder.StoreNotFound {
		return err
	}
	if archived, err := configurer.ParseStored(slot.Value); err == nil && archived.Change != nil && archived.Change.Sequence >= current.Sequence() {
		return nil
	}
	value, err := json.Marshal(current.Stored)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	slot.Kind, slot.Name, slot.Value = storer.KindConfigHistory, slotName(current.Sequence()), value
	_, err = a.store.Put(ctx, slot)
	return err
}

// Archived reads the replaced configuration with a sequence from the history. It fails
// with StoreNotFound if that configuration was never archived, or if a later
// configuration has replaced it in the history.
func (a *Applier) Archived(ctx context.Context, sequence int64) (configurer.Stored, error) {
	o, err := a.store.Get(ctx, storer.KindConfigHistory, slotName(sequence))
	if err != nil {
		return configurer.Stored{}, err
	}
	stored, err := configurer.ParseStored(o.Value)
	if err != nil {
		return configurer.Stored{}, err
	}
	if stored.Change == nil || stored.Change.Sequence != sequence {
		return configurer.Stored{}, coder.Errorf(coder.StoreNotFound, slotName(sequence), "the history doesn't hold change %d", sequence)
	}
	return stored, nil
}

// History returns the change of the current configuration and the changes of all
// configurations that the history holds, newest first.
func (a *Applier) History(ctx context.Context) ([]configurer.Change, error) {
	current, err := a.Current(ctx)
	if err != nil {
		return nil, err
	}
	events, err := a.store.List(ctx, storer.KindConfigHistory)
	if err != nil {
		return nil, err
	}
	var changes []configurer.Change
	for _, o := range events.Objects {
		if stored, err := configurer.ParseStored(o.Value); err == nil && stored.Change != nil {
			changes = append(changes, *stored.Change)
		}
	}
	if current.Change != nil {
		changes = append(changes, *current.Change)
	}
	slices.SortFunc(changes, func(a, b configurer.Change) int { return int(b.Sequence - a.Sequence) })
	return slices.CompactFunc(changes, func(a, b configurer.Change) bool { return a.Sequence == b.Sequence }), nil
}
