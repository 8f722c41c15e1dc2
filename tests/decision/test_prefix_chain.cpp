#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/prefix_chain.h"

using namespace Lovageloft;

namespace
{

std::vector<BlockHash> chainOf(const PrefixScope &scope, std::string_view prompt)
{
    std::vector<BlockHash> digests;
    std::vector<BlockHash> chain;
    digestBlocks(prompt, digests);
    chainBlocks(prefixSeed(scope), digests, chain);
    return chain;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixChainTest)

BOOST_AUTO_TEST_CASE(noOtherTeamModelOrWeightsMatchAtAnyBlock)
{
    // Two teams send the same prompt, or a model gets new weights. With equal chains a request would be placed by the cache entries of
    // the other team, which could tell from answer times what the first one has sent.
    const std::string prompt(5 * prefixBlockBytes, 'x');
    std::set<BlockHash> seen;
    const std::vector<PrefixScope> scopes{
        {"salt-a", "m", "1"}, {"salt-b", "m", "1"}, {"salt-a", "n", "1"}, {"salt-a", "m", "2"}, {"salt-am", "", "1"}, {"", "salt-am", "1"}};
    for (const PrefixScope &scope : scopes) {
        const std::vector<BlockHash> chain = chainOf(scope, prompt);
        BOOST_TEST(chain.size() == 5U);
        seen.insert(chain.begin(), chain.end());
    }
    BOOST_TEST(seen.size() == 5 * scopes.size());
}

BOOST_AUTO_TEST_CASE(aChangedBlockChangesAllFromThereOn)
{
    std::string prompt(4 * prefixBlockBytes + 17, 'x');
    const std::vector<BlockHash> before = chainOf({}, prompt);
    prompt[2 * prefixBlockBytes] = 'y';
    const std::vector<BlockHash> after = chainOf({}, prompt);
    BOOST_REQUIRE(before.size() == 4U);
    for (std::size_t i = 0; i < before.size(); ++i) {
        BOOST_TEST((before[i] == after[i]) == (i < 2));
    }
}

BOOST_AUTO_TEST_CASE(onlyWholeBlocksCountAndHugePromptsAreCut)
{
    BOOST_TEST(chainOf({}, std::string(prefixBlockBytes - 1, 'x')).empty());
    BOOST_TEST(chainOf({}, std::string((maxPrefixChainBlocks + 9) * prefixBlockBytes, 'x')).size() == maxPrefixChainBlocks);
}

BOOST_AUTO_TEST_SUITE_END()
