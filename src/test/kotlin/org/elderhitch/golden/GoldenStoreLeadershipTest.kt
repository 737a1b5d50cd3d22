package org.elderhitch.golden

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.elderhitch.golden.GoldenStoreValues.parse
import org.elderhitch.golden.GoldenStoreValues.stored
import org.elderhitch.golden.GoldenStoreValues.text
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** The encodings of the term counter and of the leader in the state service. */
class GoldenStoreLeadershipTest {
    @Test
    fun `a claim writes the counter and the leader in their fixed encoding`() = runTest {
        val node = GoldenStoreNode(this)
        node.storeTermCounter(stored("term-before"))
        node.claim()
        val leadership = assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value)
        assertEquals(Term(42), leadership.term)
        assertEquals(
            listOf("n2", "run-0"),
            listOf(leadership.previousLeader?.node?.text, leadership.previousLeader?.incarnation?.text),
        )
        assertEquals(text("term"), node.state.value(Keys.TERM)?.text())
        assertEquals(text("leader"), node.state.value(Keys.LEADER)?.text())
    }

    /** A version without token ranges adds one to the counter, and its only token has to be above all of ours. */
    @Test
    fun `the counter holds the last token of the term`() = runTest {
        val node = GoldenStoreNode(this)
        node.storeTermCounter(stored("term-before"))
        node.claim()
        val leadership = assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value)
        assertEquals(leadership.tokens.last.number, node.state.value(Keys.TERM)?.longOrNull("n"))
        assertEquals(Term(leadership.tokens.last.number + 1), leadership.nextTerm)
    }

    @Test
    fun `a counter of an earlier version names no previous leader`() = runTest {
        val node = GoldenStoreNode(this)
        node.storeTermCounter(stored("term-earlier"))
        node.claim()
        val leadership = assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value)
        assertEquals(Term(42), leadership.term)
        assertNull(leadership.previousLeader)
        assertEquals(text("term"), node.state.value(Keys.TERM)?.text())
    }

    @Test
    fun `an absent or empty counter starts from zero`() = runTest {
        for (value in listOf(null, parse("{\"newer\":1}"))) {
            val node = GoldenStoreNode(this)
            value?.let(node::storeTermCounter)
            node.claim()
            assertEquals(Term(1), assertIs<LeadershipState.Leader>(node.leadership.leadershipState.value).term)
        }
    }

    @Test
    fun `no claim succeeds over a malformed counter`() = runTest {
        for ((value, message) in mapOf(
            "{\"n\":\"41\"}" to "n: not an integer in range",
            "{\"n\":99999999999999999999}" to "n: not an integer in range",
            "{\"n\":41,\"node\":2}" to "node: not a string",
        )) {
            val node = GoldenStoreNode(this)
            node.storeTermCounter(parse(value))
            node.claim()
            assertIs<LeadershipState.Follower>(node.leadership.leadershipState.value)
            val failure = assertIs<MalformedJson>(node.failures.first())
            assertEquals(message, failure.message)
        }
    }

    private suspend fun TestScope.stateAfterObserving(value: String): LeadershipState {
        val node = GoldenStoreNode(this)
        node.state.down = true
        val leader = parse(value)
        node.leadership.tell(LeadershipMessage.LeaderObserved(Entry(Keys.LEADER, leader, Revision(5))))
        delay(1.seconds)
        return node.leadership.leadershipState.value
    }

    @Test
    fun `the leader key is decoded, and counts as absent if it is malformed`() = runTest {
        val leader = text("leader").replace("n1", "n2")
        assertEquals(LeadershipState.Follower(NodeName("n2"), Term(42)), stateAfterObserving(leader))
        assertEquals(
            LeadershipState.Follower(NodeName("n2"), Term(42)),
            stateAfterObserving(leader.replace("}", ",\"newer\":1}")),
        )
        val malformed = listOf("42" to "\"42\"", "\"run\"" to "\"go\"", "\"n2\"" to "2")
            .map { leader.replace(it.first, it.second) }
        for (corrupted in malformed + "{}") {
            assertEquals(LeadershipState.Follower(null, Term.NONE), stateAfterObserving(corrupted), corrupted)
        }
    }
}
