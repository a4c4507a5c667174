package org.lentilquay.coordination.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.MAXIMUM_PEER_FRAME_BYTES
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.state.Adapter
import org.lentilquay.state.ConfigurationChange

/** Guards against a new VM that cannot load a large configuration from a peer during an outage of the table service. */
class ConfigurationTransferTest : FunSpec({
    fun entries(revisions: LongRange) = revisions.map {
        val changes = (1..200).map { index ->
            ConfigurationChange.PutAdapter(Adapter("adapter-${it * 200 + index}", "base", setOf(1), 1))
        }
        ConfigurationLogEntry(it, "plan-$it", "ana", ConfigurationChange.Batch(changes), 0, "vm-1")
    }

    fun transfer(source: ConfigurationStore, target: ConfigurationStore, between: (Int) -> Unit = {}): Int {
        val answers = ConfigurationSource(source)
        val fetch = ConfigurationFetch(target)
        var round = 0
        target.observeHead(source.revision)
        while (target.missing() != null && round < 100) {
            between(round)
            // Longer than the lifetime of an unused snapshot, so that the source creates a new one during the transfer.
            val pause = if (round > 1) 60_000 else 0
            val page = answers.answer(fetch.request(), pause + round * 1_000L)
            Cbor.encodeToByteArray(PeerFrame(1, answer = page)).size shouldBeLessThan MAXIMUM_PEER_FRAME_BYTES
            fetch.received(page)
            round++
        }
        return round
    }

    mapOf("log entries" to 1_000, "a snapshot" to 10).forEach { (name, kept) ->
        test("a new VM receives the whole configuration as $name in several messages") {
            val source = ConfigurationStore(keptEntries = kept).apply { offer(entries(1L..60L)) }
            val target = ConfigurationStore()
            transfer(source, target) shouldBeGreaterThan 1
            target.configuration shouldBe source.configuration
        }
    }

    test("a snapshot that changes or expires between pages does not mix two configurations") {
        val log = entries(1L..80L)
        val source = ConfigurationStore(keptEntries = 10).apply { offer(log.take(60)) }
        val target = ConfigurationStore()
        transfer(source, target) { round -> if (round in 1..4) source.offer(log.drop(60).take(round * 5)) }
        target.configuration shouldBe source.configuration
        target.revision shouldBe 80
    }
})
