#include "servers/caller_exchange.h"

#include <Poco/String.h>

namespace Lovageloft
{

std::string_view bearerKey(const Poco::Net::HTTPRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    static const std::string none;
    const std::string_view field = request.get("Authorization", none);
    if (field.size() < scheme.size() || Poco::icompare(std::string(field.substr(0, scheme.size())), std::string(scheme)) != 0) {
        return {};
    }
    return field.substr(scheme.size());
}

} // namespace Lovageloft
