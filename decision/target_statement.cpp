#include "decision/target_statement.h"

namespace Lovageloft
{

std::string_view statementKindName(StatementKind kind)
{
    switch (kind) {
    case StatementKind::RateLimit:
        return "rate_limit";
    case StatementKind::RejectionLimit:
        return "rejection_limit";
    case StatementKind::Leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace Lovageloft
