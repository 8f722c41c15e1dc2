#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Digests and random identifiers, by OpenSSL.
namespace Lovageloft
{

/// The SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// The first eight digits of the secret's SHA-256. Distinguishes secrets in logs without revealing them.
std::string fingerprint(std::string_view secret);

/// The HMAC-SHA-256 of `data` under `secret` as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view secret, std::string_view data);

/// Whether two texts are equal. The time depends on their lengths only, so that it does not help an attacker to guess a digest byte by byte.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// The value as 16 lower-case hexadecimal digits.
std::string hexText(std::uint64_t value);

/// `bytes` bytes of OpenSSL's random generator in lower-case hexadecimal, for nonces and incarnations.
std::string randomHex(std::size_t bytes);

} // namespace Lovageloft
