#include "fleet/catalogueorder.h"

namespace jackdawdoor::fleet {

namespace {

/** A restored copy brings back no upstream that has left, and does not undo a later report. */
bool isNewerOfLaterHistory(const CatalogueState &candidate, const CatalogueState &known)
{
    if (candidate.removed) {
        return true;
    }
    return known.removed ? candidate.report > known.report : candidate.report >= known.report;
}

/** Decides for messages of instances of an earlier version, which state no positions. */
bool isNewerByReport(const CatalogueState &candidate, const CatalogueState &known)
{
    if (candidate.removed && !known.removed) {
        return known.report <= candidate.report;
    }
    return candidate.report > known.report;
}

} // namespace

HistoryOrder compareHistories(const std::optional<StorePosition> &first, const std::optional<StorePosition> &second)
{
    if (!first || !second || first->history.has_value() != second->history.has_value()) {
        return HistoryOrder::Unknown;
    }
    if (first->history == second->history) {
        return HistoryOrder::Same;
    }
    return *first->history < *second->history ? HistoryOrder::Earlier : HistoryOrder::Later;
}

bool isNewer(const CatalogueState &candidate, const CatalogueState &known)
{
    switch (compareHistories(candidate.position, known.position)) {
    case HistoryOrder::Same:
        return candidate.position->offset > known.position->offset;
    case HistoryOrder::Later:
        return isNewerOfLaterHistory(candidate, known);
    case HistoryOrder::Earlier:
        return !candidate.removed && candidate.report > known.report;
    default:
        return isNewerByReport(candidate, known);
    }
}

std::optional<StorePosition> positionBefore(const StorePosition &position)
{
    if (position.offset == 0) {
        return std::nullopt;
    }
    return StorePosition{position.history, position.offset - 1};
}

StorePosition advancedTo(const StorePosition &next, const StorePosition &through)
{
    const bool isFurther = next.offset == 0 || (next.history == through.history && next.offset < through.offset);
    return isFurther ? through : next;
}

} // namespace jackdawdoor::fleet
