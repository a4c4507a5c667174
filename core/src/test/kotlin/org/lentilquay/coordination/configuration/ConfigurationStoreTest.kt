package org.lentilquay.coordination.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import kotlin.random.Random

/** Guards against a configuration that returns to an earlier revision, skips a revision or differs between VMs. */
class ConfigurationStoreTest : FunSpec({
    test("entries after a gap wait until the gap is filled, and known revisions are ignored") {
        val store = ConfigurationStore()
        store.offer(listOf(logged(1))) shouldBe OfferResult.Applied(0, store.configuration, listOf(logged(1).change))
        store.offer(listOf(logged(4))) shouldBe OfferResult.Unchanged
        store.missing() shouldBe 2L..3L
        store.offer(listOf(logged(1), logged(2, "other"))) shouldBe
            OfferResult.Applied(1, store.configuration, listOf(logged(2, "other").change))
        store.missing() shouldBe 3L..3L
        store.offer(listOf(logged(3)))
        store.revision shouldBe 4
        store.missing() shouldBe null
        store.observeHead(9)
        store.missing() shouldBe 5L..9L
        store.entriesAfter(2)?.map { it.revision } shouldBe listOf(3L, 4L)
        store.entry(5) shouldBe null
    }

    test("entriesAfter returns null for a revision whose entries are no longer in memory") {
        val store = ConfigurationStore(keptEntries = 10)
        store.offer((1L..500L).map { logged(it) })
        store.isSnapshotDue().shouldBeTrue()
        store.entriesAfter(490)?.size shouldBe 10
        store.entriesAfter(489) shouldBe null
        store.entriesAfter(500) shouldBe emptyList()
    }

    test("a snapshot replaces the log up to its revision and never lowers the revision in force") {
        val source = ConfigurationStore().apply { offer((1L..7L).map { logged(it) }) }
        val store = ConfigurationStore().apply { offer(listOf(logged(3), logged(8))) }
        store.offerSnapshot(source.configuration)
        store.revision shouldBe 8
        store.offerSnapshot(source.configuration) shouldBe OfferResult.Unchanged
        store.revision shouldBe 8
        store.access.revision shouldBe 8
    }

    test("with loss, duplication and reordering of entries, revisions never decrease and all stores converge") {
        (1..200).forEach { seed ->
            val random = Random(seed)
            val log = (1L..40L).map { logged(it, if (random.nextBoolean()) "t" else "u") }
            val whole = ConfigurationStore().apply { offer(log) }.configuration
            val stores = List(4) { ConfigurationStore(keptEntries = 5) }
            repeat(200) {
                val store = stores.random(random)
                val before = store.configuration
                when (random.nextInt(8)) {
                    0 -> store.offerSnapshot(stores.random(random).configuration)
                    else -> store.offer(List(random.nextInt(4)) { log.random(random) })
                }
                // The configuration must always equal the replay of the log up to its revision.
                (store.revision >= before.revision).shouldBeTrue()
                store.configuration shouldBe Configuration().let { empty ->
                    ConfigurationStore(empty).apply { offer(log.take(store.revision.toInt())) }.configuration
                }
            }
            stores.forEach { store ->
                store.observeHead(40)
                repeat(log.size) {
                    store.offer(store.missing().orEmpty().map { log[it.toInt() - 1] }.shuffled(random))
                }
                store.configuration shouldBe whole
            }
        }
    }
})

private fun LongRange?.orEmpty(): LongRange = this ?: LongRange.EMPTY

private fun logged(revision: Long, team: String = "t"): ConfigurationLogEntry {
    val change = ConfigurationChange.PutTeam(Team(TeamId(team), revision, revision))
    return ConfigurationLogEntry(revision, "plan-$revision", "ana", change, 0, "vm-1")
}
