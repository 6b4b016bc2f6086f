# Trial: does one caller with many pipelined requests hold up a stop? Usage: stop_flood.py SETTINGS ENTRY GRACE_SECONDS
# The settings: callers at 127.67.9.1:7001, a store that does not answer, the same grace.
import socket,subprocess,threading,time,signal,sys,os
ini,exe,grace=sys.argv[1],sys.argv[2],float(sys.argv[3])
host="127.67.9.1"
log=open("flood-entry.log","w")
p=subprocess.Popen([exe,"--config",ini],stdout=log,stderr=log)
def conn():
    for _ in range(200):
        try: return socket.create_connection((host,7001),timeout=5)
        except OSError: time.sleep(0.05)
    raise SystemExit("no connection")
a=conn(); b=conn()
time.sleep(0.5)
req=b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
blob=req*4000
stop=False; got=[0]; sent=[0]
def reader():
    try:
        while True:
            d=a.recv(1<<20)
            if not d: break
            got[0]+=len(d)
    except OSError as e: print("reader",e)
def writer():
    end=time.time()+grace+1
    try:
        while time.time()<end:
            a.sendall(blob); sent[0]+=len(blob)
    except OSError as e: print("writer ended at %.3f"%(time.time()-t0),e)
a.settimeout(20)
t0=time.time()
p.send_signal(signal.SIGTERM)
time.sleep(0.02)
threading.Thread(target=reader,daemon=True).start()
w=threading.Thread(target=writer,daemon=True); w.start()
time.sleep(0.2)
tb=time.time(); b.settimeout(grace+3)
b.sendall(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
def other():
    try:
        d=b.recv(4096); print("other caller: %d bytes after %.3f s: %r"%(len(d),time.time()-tb,d[:20]))
    except OSError as e: print("other caller: no answer after %.3f s: %s"%(time.time()-tb,e))
o=threading.Thread(target=other); o.start()
try:
    rc=p.wait(timeout=grace-(time.time()-t0)); print("exit",rc,"%.3f s after SIGTERM"%(time.time()-t0))
except subprocess.TimeoutExpired:
    print("still there at the end of the grace: killed"); p.kill(); p.wait()
o.join(); print("flood: sent",sent[0],"received",got[0])
