#include "decision/dispatch_table.h"

namespace Lovageloft
{

namespace
{

/// An id consists of a serial number and, in the lower bits, the index of the slot.
constexpr std::uint32_t slotBits = 32;
constexpr std::uint64_t slotMask = (std::uint64_t{1} << slotBits) - 1;

} // namespace

DispatchId DispatchTable::open(const Dispatch &dispatch)
{
    if (freeSlots_.empty()) {
        freeSlots_.push_back(static_cast<std::uint32_t>(slots_.size()));
        slots_.emplace_back();
    }
    const std::uint32_t index = freeSlots_.back();
    freeSlots_.pop_back();
    Slot &slot = slots_[index];
    slot = {.dispatch = dispatch, .isOpen = true};
    slot.dispatch.id = (++lastSerial_ << slotBits) | index;
    return slot.dispatch.id;
}

Dispatch *DispatchTable::find(DispatchId id)
{
    return isOpen(id) ? &slots_[id & slotMask].dispatch : nullptr;
}

const Dispatch *DispatchTable::find(DispatchId id) const
{
    return isOpen(id) ? &slots_[id & slotMask].dispatch : nullptr;
}

void DispatchTable::close(DispatchId id)
{
    if (!isOpen(id)) {
        return;
    }
    const auto index = static_cast<std::uint32_t>(id & slotMask);
    slots_[index].isOpen = false;
    freeSlots_.push_back(index);
}

bool DispatchTable::isOpen(DispatchId id) const
{
    const std::uint64_t index = id & slotMask;
    return index < slots_.size() && slots_[index].isOpen && slots_[index].dispatch.id == id;
}

} // namespace Lovageloft
