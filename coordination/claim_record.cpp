#include "coordination/claim_record.h"

#include <charconv>

#include "core/digest.h"

namespace Lovageloft
{

namespace
{

constexpr std::string_view formatVersion = "1";

void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

/// Reads consecutive fields of the form LENGTH:BYTES. After a malformed field all further fields are empty.
class FieldReader
{
public:
    explicit FieldReader(std::string_view text)
        : rest_(text)
    {
    }

    std::string_view readText()
    {
        const std::size_t colon = rest_.find(':');
        const auto length = colon == std::string_view::npos ? std::nullopt : parseNumber(rest_.substr(0, colon));
        if (!length || *length < 0 || static_cast<std::size_t>(*length) > rest_.size() - colon - 1) {
            isValid_ = false;
            rest_ = {};
            return {};
        }
        const std::string_view field = rest_.substr(colon + 1, static_cast<std::size_t>(*length));
        rest_.remove_prefix(colon + 1 + field.size());
        return field;
    }

    std::int64_t readNumber()
    {
        const auto value = parseNumber(readText());
        isValid_ = isValid_ && value.has_value();
        return value.value_or(0);
    }

    /// Whether all fields were well-formed and no text is left.
    bool isDone() const
    {
        return isValid_ && rest_.empty();
    }

private:
    static std::optional<std::int64_t> parseNumber(std::string_view text)
    {
        std::int64_t value = 0;
        const char *end = text.data() + text.size();
        const auto [next, error] = std::from_chars(text.data(), end, value);
        return error == std::errc{} && next == end ? std::optional(value) : std::nullopt;
    }

    std::string_view rest_;
    bool isValid_ = true;
};

} // namespace

std::string claimKey(std::string_view prefix, const ClaimCall &call)
{
    std::string text;
    appendField(text, call.team);
    appendField(text, call.service);
    appendField(text, call.idempotencyKey);
    return std::string(prefix) + "claims/" + sha256Hex(text);
}

std::string formatClaimRecord(const ClaimRecord &record)
{
    std::string text;
    appendField(text, formatVersion);
    appendField(text, std::to_string(static_cast<int>(record.state)));
    appendField(text, record.host);
    appendField(text, record.incarnation);
    appendField(text, record.nonce);
    appendField(text, record.requestDigest);
    appendField(text, std::to_string(record.leaseId));
    appendField(text, std::to_string(record.answer.status));
    appendField(text, record.answer.contentType);
    appendField(text, record.answer.body);
    appendField(text, record.answer.isWhole ? "1" : "0");
    return text;
}

std::optional<ClaimRecord> parseClaimRecord(std::string_view text, Reason &reason)
{
    FieldReader reader(text);
    const bool isKnownVersion = reader.readText() == formatVersion;
    const std::int64_t state = reader.readNumber();
    ClaimRecord record;
    record.host = reader.readText();
    record.incarnation = reader.readText();
    record.nonce = reader.readText();
    record.requestDigest = reader.readText();
    record.leaseId = reader.readNumber();
    record.answer.status = static_cast<int>(reader.readNumber());
    record.answer.contentType = reader.readText();
    record.answer.body = reader.readText();
    record.answer.isWhole = reader.readNumber() == 1;
    if (!isKnownVersion || !reader.isDone() || state < 0 || state > static_cast<std::int64_t>(ClaimState::Unknown)) {
        reason = {ResultCode::StoreConflict, "the claim in the store can't be read"};
        return std::nullopt;
    }
    record.state = static_cast<ClaimState>(state);
    return record;
}

} // namespace Lovageloft
