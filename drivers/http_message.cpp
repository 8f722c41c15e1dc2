#include "drivers/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <Poco/Net/HTTPResponse.h>

namespace Lovageloft
{

namespace
{

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

constexpr std::array<std::string_view, 9> connectionFields{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
};

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view HttpHead::find(std::string_view name) const
{
    for (const HttpField &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool HttpHead::has(std::string_view name) const
{
    return std::any_of(fields.begin(), fields.end(), [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); });
}

bool HttpHead::hasToken(std::string_view name, std::string_view token) const
{
    for (const HttpField &field : fields) {
        if (!equalsIgnoringCase(field.name, name)) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            if (equalsIgnoringCase(trimmed(rest.substr(0, comma)), token)) {
                return true;
            }
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

bool isHopByHop(const HttpHead &head, std::string_view name)
{
    const bool isListed =
        std::any_of(connectionFields.begin(), connectionFields.end(), [name](std::string_view field) { return equalsIgnoringCase(field, name); });
    return isListed || head.hasToken("Connection", name);
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendChunkHead(std::string &out, std::size_t size)
{
    constexpr int hexadecimal = 16;
    std::array<char, 20> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal);
    out.append(digits.data(), end.ptr).append("\r\n");
}

void appendChunk(std::string &out, std::string_view bytes)
{
    appendChunkHead(out, bytes.size());
    out.append(bytes).append("\r\n");
}

std::string_view statusText(int status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

} // namespace Lovageloft
