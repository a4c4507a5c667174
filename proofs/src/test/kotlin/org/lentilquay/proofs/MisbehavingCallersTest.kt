package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.lentilquay.daemon.settings.LimitSettings
import org.lentilquay.standins.CallerBytes
import org.lentilquay.standins.CrowdFraming
import org.lentilquay.standins.CrowdTarget
import org.lentilquay.standins.ProcessResources
import org.lentilquay.standins.askOnce
import org.lentilquay.standins.askUntilServed
import org.lentilquay.standins.callerCrowd
import org.lentilquay.standins.deafCallers
import org.lentilquay.standins.emptyLines
import org.lentilquay.standins.endlessHeadLines
import org.lentilquay.standins.endlessHeads
import org.lentilquay.standins.excessiveBodies
import org.lentilquay.standins.excessiveHeads
import org.lentilquay.standins.mixedCallers
import org.lentilquay.standins.silentCallers
import org.lentilquay.standins.unfinishedBodies
import org.lentilquay.standins.unfinishedHeads

/** A machine of 288 MiB and 400 descriptors, and a heap that leaves the usual share of it to the rest of the JVM. */
private const val MEMORY_MEBIBYTES = 288
private val RESOURCES = VmResources(heapMebibytes = 96, descriptors = 400)
private val LIMITS = LimitSettings()

/** Callers of each kind, fewer than the descriptors; the kinds that hold connections have more than there are. */
private const val CROWD = 120
private const val LARGE_CROWD = 600

/** How long a crowd sends before an ordinary request is made beside it. */
private const val CROWD_MILLIS = 5_000L

/** An unanswered request counts as a process that hangs after this time. */
private const val HANG_MILLIS = 60_000
private const val OK = 200
private const val REQUEST_START =
    "GET /services/bookings/devices/7 HTTP/1.1\r\nHost: lentilquay.example\r\nAuthorization: Bearer $KEY\r\n"
private val ORDINARY_BODY = ByteArray(100_000) { 'x'.code.toByte() }

/**
 * Guards against callers that end or hang a VM: endless heads and empty lines, bodies that stop short of their end and
 * stay open, bodies over the limit, and connections that carry no request.
 */
class MisbehavingCallersTest : FunSpec({
    val options = FleetOptions(vms = 1, engines = listOf(fastEngine), resources = RESOURCES)

    /** Runs [callers] against a new VM and checks it during and after that. */
    fun check(name: String, callers: (CrowdTarget) -> List<CallerBytes>) {
        Fleet("misbehaving-$name", options).use { fleet ->
            fleet.awaitBookings()
            val vm = fleet.vms.single()
            ProcessResources(vm.pid).use { resources ->
                val target = CrowdTarget(REQUEST_START, LIMITS.headerBytes, LIMITS.bodyBytes)
                callerCrowd(vm.callerPort, callers(target)).use {
                    Thread.sleep(CROWD_MILLIS)
                    withClue("an ordinary request beside the callers") {
                        askUntilServed(vm.callerPort, REQUEST_START, ORDINARY_BODY, HANG_MILLIS).status shouldBe OK
                    }
                }
                withClue("an ordinary request after the callers have left") {
                    askOnce(vm.callerPort, REQUEST_START, ORDINARY_BODY, HANG_MILLIS).status shouldBe OK
                }
                withClue("the process lives") { vm.isAlive shouldBe true }
                val memory = resources.greatestMemoryMebibytes().shouldNotBeNull()
                println("$name: $memory MiB, ${resources.greatestDescriptors} descriptors")
                memory shouldBeLessThanOrEqual MEMORY_MEBIBYTES
                resources.greatestDescriptors shouldBeLessThanOrEqual RESOURCES.descriptors.shouldNotBeNull()
            }
        }
    }

    test("a single request with a head and a body of the greatest length is served in calm") {
        Fleet("misbehaving-calm", options).use { fleet ->
            fleet.awaitBookings()
            val rest = "X: \r\nContent-Length: ${LIMITS.bodyBytes}\r\n\r\n".length
            val padding = "X: ${"a".repeat(LIMITS.headerBytes - REQUEST_START.length - rest)}\r\n"
            val body = ByteArray(LIMITS.bodyBytes)
            askUntilServed(fleet.vms.single().callerPort, REQUEST_START + padding, body, HANG_MILLIS).status shouldBe OK
        }
    }

    test("head lines without end") { check("endless-line") { endlessHeadLines(it, CROWD) } }

    test("heads with lines without end") { check("endless-head") { endlessHeads(it, CROWD) } }

    test("heads just over the limit") { check("long-head") { excessiveHeads(it, CROWD) } }

    test("heads that stop one byte short") { check("short-head") { unfinishedHeads(it, LARGE_CROWD) } }

    test("empty lines without end before a request") { check("empty-lines") { emptyLines(CROWD) } }

    CrowdFraming.entries.forEach { framing ->
        val name = framing.name.lowercase()
        test("bodies of legal size that stop short, framed by $name") {
            check("short-$name") { unfinishedBodies(it, framing, isSlow = false, CROWD) }
        }
        test("bodies of legal size that stop short piece by piece, framed by $name") {
            check("slow-$name") { unfinishedBodies(it, framing, isSlow = true, CROWD) }
        }
        test("bodies far over the limit, framed by $name") {
            check("excessive-$name") { excessiveBodies(it, framing, CROWD) }
        }
    }

    test("connections that carry no request") { check("silent") { silentCallers(LARGE_CROWD) } }

    test("callers that send requests and take no responses") { check("deaf") { deafCallers(it, CROWD) } }

    test("all kinds at once") { check("mix") { mixedCallers(it, LARGE_CROWD) } }
})
