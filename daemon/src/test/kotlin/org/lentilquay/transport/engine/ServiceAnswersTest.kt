package org.lentilquay.transport.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.standins.ServiceOptions
import org.lentilquay.standins.plainService
import org.lentilquay.transport.http.BodyReadResult

/** Guards against answers that are lost between a server that closes its connection early and this client. */
class ServiceAnswersTest : FunSpec({
    test("each of 200 calls in a row is answered whole") {
        plainService(ServiceOptions(workMillis = 1)).use { service ->
            ServiceClient().use { client ->
                val lost = (1..200).count { number ->
                    val body = "{\"reference\":\"booking-$number\"}".encodeToByteArray()
                    val call = ServiceCall("POST", "/deposits", listOf("Content-Type" to "application/json"), body)
                    val answer = client.forward("127.0.0.1:${service.port}", call)
                    val whole = (answer as? ServiceCallResult.Answered)?.body?.use { it.readFully(10_000) }
                    whole !is BodyReadResult.Complete
                }
                lost shouldBe 0
            }
        }
    }
})
